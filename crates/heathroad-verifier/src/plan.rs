//! Drains in batches: which nodes may be out at once so that every expectation holds all along, in
//! as few batches as can be. Batches are found by first fit, then by search; whether fewer could do
//! is said, not guessed.

use crate::file::{Demand, Expectations, Figure};
use crate::judge::{Here, judge};
use crate::nodes::{self, Loss, Node, State};
use crate::reach::Routes;
use crate::space::Space;
use heathroad_routing::file::{Effect, Group};
use heathroad_routing::generation::Generation;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Most looks of the search; past them the batches of first fit stand, unproven.
const MAX_LOOKS: usize = 50_000;
/// Most units that are searched; of more the batches of first fit stand.
const MAX_SEARCHED: usize = 512;
/// Most nodes of a plan.
pub const MAX_NODES: usize = 10_000;

/// Batches of drains.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Plan {
    /// Nodes to be drained together, batch by batch.
    pub batches: Vec<Vec<SocketAddr>>,
    /// Fewer batches can't do.
    pub proven: bool,
    /// Nodes that can't be drained, and what would break.
    pub stuck: Vec<(SocketAddr, String)>,
}

/// What must be left of a pool's nodes.
#[derive(Debug, Clone)]
struct Need {
    /// The pool's nodes that take work when nothing of the plan is out.
    nodes: Vec<Node>,
    loss: Option<Loss>,
    /// By mates in a group, or else by nodes.
    group: Option<Group>,
    least: f64,
    /// The expectation.
    name: String,
}

impl Need {
    fn holds(&self, out: &BTreeSet<SocketAddr>) -> bool {
        let left: Vec<&Node> = self
            .nodes
            .iter()
            .filter(|n| !out.contains(&n.address))
            .collect();
        let found = match self.group {
            None => nodes::left(&left, self.loss).0,
            Some(group) => nodes::mates(&left, group, self.loss).map_or(0, |(n, _)| n),
        };
        found as f64 >= self.least
    }

    /// How many of some nodes can be out at once at the most, where counting tells.
    fn slack(&self) -> Option<usize> {
        let lost = match self.loss {
            None => 0,
            Some(Loss {
                kind: nodes::Kind::Node,
                count,
            }) => count,
            Some(_) => return None,
        };
        let least = if self.group.is_some() {
            return None;
        } else {
            self.least.ceil() as usize
        };
        Some(self.nodes.len().saturating_sub(lost + least))
    }
}

/// What all expectations need of the nodes, each need once.
fn needs(
    generation: &Generation,
    expectations: &Expectations,
    here: &Here,
) -> Result<Vec<Need>, String> {
    let scopes: Vec<_> = expectations.list.iter().map(|e| &e.scope).collect();
    let space = Space::new(&generation.config, &scopes, here.tenants.as_deref())?;
    let routes = Routes::new(generation, &space);
    let now = State::default();
    let mut needs: BTreeMap<String, Need> = BTreeMap::new();
    for e in &expectations.list {
        let least = |d: &Demand| match d {
            Demand::Served(true) => Some((false, 1.0)),
            Demand::Figure(Figure::Nodes, b) if b.at_least > 0.0 => Some((false, b.at_least)),
            Demand::Figure(Figure::Mates, b) if b.at_least > 0.0 => Some((true, b.at_least)),
            _ => None,
        };
        let wanted: Vec<(bool, f64)> = e.demands.iter().filter_map(least).collect();
        if wanted.is_empty() {
            continue;
        }
        let mut reached: BTreeMap<(usize, &str), Effect> = BTreeMap::new();
        for (class, taken) in routes
            .by_class(&space, &e.scope)
            .map_err(|e| e.to_string())?
        {
            let Some(route) = taken.route.map(|r| &generation.config.routes[r]) else {
                continue;
            };
            for share in route.to.iter().filter(|s| s.weight > 0.0) {
                let pool = &generation.config.pools[share.pool];
                if let Some(c) = pool.classes.iter().find(|c| c.name == class) {
                    reached.insert((share.pool, class), c.effect);
                }
            }
        }
        let states = [&now]
            .into_iter()
            .chain(e.states.iter().map(|s| &expectations.states[*s]));
        for (state, ((pool, _), effect)) in states.flat_map(|s| reached.iter().map(move |r| (s, r)))
        {
            let Some(own) = nodes::of(&generation.config.pools[*pool], &here.nodes, here.registry)
            else {
                continue;
            };
            let nodes: Vec<Node> = own.into_iter().filter(|n| state.spares(n)).collect();
            for (by_mates, least) in &wanted {
                let group = match (by_mates, effect) {
                    (false, _) => None,
                    (true, Effect::Keyed { group, .. }) => Some(*group),
                    (true, _) => continue,
                };
                let key = format!(
                    "{pool} {:?} {:?} {group:?} {least} {}",
                    state.name, e.loss, by_mates
                );
                let need = Need {
                    nodes: nodes.clone(),
                    loss: e.loss,
                    group,
                    least: *least,
                    name: e.name.clone(),
                };
                needs.entry(key).or_insert(need);
            }
        }
    }
    Ok(needs.into_values().collect())
}

/// Plans the drains of some nodes, so many at once at the most. An error is about what can't be
/// planned at all: expectations that fail before anything drains.
pub fn drains(
    generation: &Generation,
    expectations: &Expectations,
    here: &Here,
    drain: &BTreeSet<SocketAddr>,
    at_once: usize,
) -> Result<Plan, String> {
    if drain.len() > MAX_NODES {
        return Err(format!(
            "{} nodes to drain; expected {MAX_NODES} at most",
            drain.len()
        ));
    }
    let before = judge(generation, expectations, here)?.failures();
    if !before.is_empty() {
        return Err(format!("before anything drains:\n{}", before.join("\n")));
    }
    let needs = needs(generation, expectations, here)?;
    let at_once = at_once.max(1);
    let (units, stuck) = units(&needs, drain, at_once);
    let touched: Vec<Vec<usize>> = units
        .iter()
        .map(|unit| {
            let touches = |n: &Need| n.nodes.iter().any(|x| unit.contains(&x.address));
            (0..needs.len()).filter(|n| touches(&needs[*n])).collect()
        })
        .collect();
    let mut search = Search {
        needs: &needs,
        units: &units,
        touched: &touched,
        at_once,
        looks: 0,
    };
    let mut best = search.first_fit();
    let all: usize = units.iter().map(BTreeSet::len).sum();
    let by_need = |need: &Need| {
        let own = need
            .nodes
            .iter()
            .filter(|n| units.iter().any(|u| u.contains(&n.address)))
            .count();
        need.slack()
            .filter(|s| *s > 0)
            .map_or(0, |s| own.div_ceil(s))
    };
    let least = needs
        .iter()
        .map(by_need)
        .chain([all.div_ceil(at_once)])
        .max()
        .unwrap_or(0);
    // With more out there is less of what is needed, but for mates: where a whole group is out,
    // nobody there asks for them, and what is cut off for their sake might have led on.
    let single = |n: &Need| n.loss.is_none_or(|l| l.kind == nodes::Kind::Node);
    let sound = needs
        .iter()
        .all(|n| n.group.is_none_or(|g| g == Group::All && single(n)));
    let searched = units.len() <= MAX_SEARCHED;
    let mut proven = searched || best.len() <= least;
    for count in (least..best.len()).take_while(|_| searched) {
        let mut batches = vec![BTreeSet::new(); count];
        search.looks = 0;
        match search.place(0, &mut batches) {
            Some(true) => {
                best = batches;
                break;
            }
            // Searched to the end: so few can't do.
            Some(false) => proven &= sound,
            None => proven = false,
        }
    }
    // What was reasoned out in parts is held against the whole.
    for batch in &best {
        let mut assumed = here.clone();
        assumed.nodes.retain(|n| !batch.contains(&n.address));
        let known = |a: &SocketAddr| here.nodes.iter().find(|n| n.address == *a).cloned();
        let out = batch.iter().map(|a| Node {
            takes: false,
            ..known(a).unwrap_or_else(|| Node::withdrawn(*a))
        });
        assumed.nodes.extend(out);
        let failures = judge(generation, expectations, &assumed)?.failures();
        if let Some(first) = failures.first() {
            return Err(format!("a batch that should hold does not: {first}"));
        }
    }
    let batches = best.into_iter().map(|b| b.into_iter().collect()).collect();
    Ok(Plan {
        batches,
        proven,
        stuck,
    })
}

/// What is drained as one: single nodes, and where only a whole block or site can go, that.
fn units(
    needs: &[Need],
    drain: &BTreeSet<SocketAddr>,
    at_once: usize,
) -> (Vec<BTreeSet<SocketAddr>>, Vec<(SocketAddr, String)>) {
    let broken = |out: &BTreeSet<SocketAddr>| needs.iter().find(|n| !n.holds(out));
    let places: BTreeMap<SocketAddr, &Node> = needs
        .iter()
        .flat_map(|n| &n.nodes)
        .map(|n| (n.address, n))
        .collect();
    let (mut units, mut stuck, mut placed) = (Vec::new(), Vec::new(), BTreeSet::new());
    for address in drain {
        if placed.contains(address) {
            continue;
        }
        let alone = BTreeSet::from([*address]);
        let Some(need) = broken(&alone) else {
            placed.insert(*address);
            units.push(alone);
            continue;
        };
        let with = |same: &dyn Fn(&Node, &Node) -> bool| {
            let own = places.get(address)?;
            let fits = |a: &&SocketAddr| {
                places.get(a).is_some_and(|n| same(n, own)) && !placed.contains(*a)
            };
            let unit: BTreeSet<SocketAddr> = drain.iter().filter(fits).copied().collect();
            (unit.len() <= at_once && broken(&unit).is_none()).then_some(unit)
        };
        let block = with(&|a, b| (&a.site, a.block) == (&b.site, b.block));
        match block.or_else(|| with(&|a, b| a.site == b.site)) {
            Some(unit) => {
                placed.extend(unit.iter().copied());
                units.push(unit);
            }
            None => stuck.push((*address, need.name.clone())),
        }
    }
    (units, stuck)
}

struct Search<'a> {
    needs: &'a [Need],
    units: &'a [BTreeSet<SocketAddr>],
    /// By unit, the needs that look at it.
    touched: &'a [Vec<usize>],
    at_once: usize,
    looks: usize,
}

impl Search<'_> {
    /// Adds a unit to a batch if all that looks at it still holds.
    fn add(&mut self, unit: usize, batch: &mut BTreeSet<SocketAddr>) -> bool {
        let own = &self.units[unit];
        if batch.len() + own.len() > self.at_once {
            return false;
        }
        self.looks += 1;
        batch.extend(own);
        let holds = self.touched[unit]
            .iter()
            .all(|n| self.needs[*n].holds(batch));
        if !holds {
            batch.retain(|a| !own.contains(a));
        }
        holds
    }

    /// The first batch that has room, those units first that most needs look at.
    fn first_fit(&mut self) -> Vec<BTreeSet<SocketAddr>> {
        let mut order: Vec<usize> = (0..self.units.len()).collect();
        order.sort_by_key(|u| std::cmp::Reverse((self.touched[*u].len(), self.units[*u].len())));
        let mut batches: Vec<BTreeSet<SocketAddr>> = Vec::new();
        for unit in order {
            if !batches.iter_mut().any(|b| self.add(unit, b)) {
                batches.push(self.units[unit].clone());
            }
        }
        batches
    }

    /// Places all units from one on in so many batches: whether it can be done; none when it was
    /// looked at for too long.
    fn place(&mut self, unit: usize, batches: &mut [BTreeSet<SocketAddr>]) -> Option<bool> {
        if unit == self.units.len() {
            return Some(true);
        }
        for b in 0..batches.len() {
            // Batches that are empty are alike.
            if b > 0 && batches[b].is_empty() && batches[b - 1].is_empty() {
                break;
            }
            if self.looks > MAX_LOOKS {
                return None;
            }
            let mut batch = std::mem::take(&mut batches[b]);
            let added = self.add(unit, &mut batch);
            batches[b] = batch;
            if added {
                let found = self.place(unit + 1, batches)?;
                if found {
                    return Some(true);
                }
                let own = &self.units[unit];
                batches[b].retain(|a| !own.contains(a));
            }
        }
        Some(false)
    }
}
