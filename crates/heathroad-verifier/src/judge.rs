//! Verdicts: each expectation held against a configuration, over every request of its scope, now
//! and in each state that it names. What breaks one is told with the smallest request and the
//! smallest state that do, and with the route and its line.

use crate::file::{Again, Bound, Demand, Expectation, Expectations, Figure, Places};
use crate::nodes::{self, Node, State};
use crate::reach::{Routes, Taken, TooMany};
use crate::space::{Region, Space};
use heathroad_routing::file::{Class, Effect, Pool, Source};
use heathroad_routing::generation::Generation;
use heathroad_routing::split::Share;
use serde::Serialize;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

/// What is known of the place where a configuration is to serve.
#[derive(Debug, Clone, Default)]
pub struct Here {
    /// The tenants that the daemon takes, where it is known; empty is none of them.
    pub tenants: Option<Vec<String>>,
    /// Most attempts for one request, by the daemon's settings.
    pub attempts: Option<u32>,
    /// Most open requests of a pool that says nothing itself, by the daemon's settings.
    pub open: Option<u32>,
    /// The registry of pools that name none.
    pub registry: Option<SocketAddr>,
    /// Nodes that registries tell, and what is known of others.
    pub nodes: Vec<Node>,
}

/// Verdicts on all expectations of a file, in their order.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The file of expectations.
    pub file: String,
    /// One for each.
    pub verdicts: Vec<Verdict>,
}

/// The verdict on one expectation.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Verdict {
    /// Its name.
    pub name: String,
    /// Its line.
    pub line: usize,
    /// In how many kinds of requests by route, class and pool it was looked at.
    pub cases: usize,
    /// What breaks it.
    pub failure: Option<Failure>,
}

/// What breaks an expectation.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Failure {
    /// The smallest request that does.
    pub request: Option<String>,
    /// The route that it takes, and its line in the file of routes.
    pub route: Option<(String, usize)>,
    /// The pool that it goes to.
    pub pool: Option<String>,
    /// The state in which it does; none is now.
    pub state: Option<String>,
    /// What is lost beside.
    pub lost: Vec<String>,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
    /// Further requests by route, class and pool that break it.
    pub others: usize,
    /// It is not known to be broken: what it rests on is not known here.
    pub open: bool,
}

impl Report {
    /// Whether all expectations hold.
    pub fn holds(&self) -> bool {
        self.verdicts.iter().all(|v| v.failure.is_none())
    }

    /// A line for each that fails.
    pub fn failures(&self) -> Vec<String> {
        self.lines(|_| true)
    }

    /// A line for each that is known to fail, whatever nodes registries tell.
    pub fn known(&self) -> Vec<String> {
        self.lines(|f| !f.open)
    }

    fn lines(&self, of: impl Fn(&Failure) -> bool) -> Vec<String> {
        let line = |v: &Verdict| {
            let failure = v.failure.as_ref().filter(|f| of(f))?;
            Some(format!("{}:{}: {:?}: {failure}", self.file, v.line, v.name))
        };
        self.verdicts.iter().filter_map(line).collect()
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(state) = &self.state {
            write!(f, "while {state}: ")?;
        }
        if !self.lost.is_empty() {
            write!(f, "without {}: ", self.lost.join(", "))?;
        }
        if let Some(request) = &self.request {
            write!(f, "{request}: ")?;
        }
        if let Some((name, line)) = &self.route {
            write!(f, "by route {name:?} of line {line}: ")?;
        }
        if let Some(pool) = &self.pool {
            write!(f, "to pool {pool:?}: ")?;
        }
        write!(f, "{}; expected {}", self.found, self.expected)?;
        if self.others > 0 {
            write!(f, " ({} more)", self.others)?;
        }
        Ok(())
    }
}

/// What is wrong in a place, before the request is made small.
#[derive(Clone)]
struct Wrong {
    open: bool,
    lost: Vec<String>,
    found: String,
    expected: String,
}

/// What is wrong, and in which of the states.
type Broken = Option<(usize, Wrong)>;

fn wrong(found: impl Into<String>, expected: impl Into<String>) -> Option<Wrong> {
    Some(Wrong {
        open: false,
        lost: Vec::new(),
        found: found.into(),
        expected: expected.into(),
    })
}

/// Requests of one class that go by one route to one pool.
struct Case<'r> {
    taken: &'r Taken<'r>,
    class: &'r str,
    /// The pool, if any: its place and what it is.
    pool: Option<(usize, &'r Pool)>,
    /// The class as the pool serves it.
    as_served: Option<&'r Class>,
}

/// Holds expectations against a configuration. An error is about what can't be judged at all.
pub fn judge(
    generation: &Generation,
    expectations: &Expectations,
    here: &Here,
) -> Result<Report, String> {
    let scopes: Vec<_> = expectations.list.iter().map(|e| &e.scope).collect();
    let space = Space::new(&generation.config, &scopes, here.tenants.as_deref())?;
    let judge = Judge {
        generation,
        states: &expectations.states,
        here,
        routes: Routes::new(generation, &space),
        pools: generation
            .config
            .pools
            .iter()
            .map(|p| nodes::of(p, &here.nodes, here.registry))
            .collect(),
        space: &space,
    };
    let verdicts = expectations
        .list
        .iter()
        .map(|e| judge.verdict(e))
        .collect::<Result<_, _>>();
    let verdicts = verdicts.map_err(|e: TooMany| e.to_string())?;
    Ok(Report {
        file: expectations.file.clone(),
        verdicts,
    })
}

struct Judge<'a> {
    generation: &'a Generation,
    states: &'a [State],
    here: &'a Here,
    space: &'a Space,
    routes: Routes,
    /// Nodes of each pool, where they are known.
    pools: Vec<Option<Vec<Node>>>,
}

impl Judge<'_> {
    fn verdict(&self, e: &Expectation) -> Result<Verdict, TooMany> {
        let plain = |found: String, expected: &str| Failure {
            request: None,
            route: None,
            pool: None,
            state: None,
            lost: Vec::new(),
            found,
            expected: expected.into(),
            others: 0,
            open: false,
        };
        let (mut cases, mut failure) = (
            0,
            self.dangling(e)
                .map(|(found, expected)| plain(found, &expected)),
        );
        if failure.is_none() {
            let taken = self.routes.by_class(self.space, &e.scope)?;
            if taken.is_empty() && !e.may_be_empty {
                let found = format!("there are no {}", e.scope.words());
                failure = Some(plain(found, "some, or `may_be_empty = true`"));
            }
            // States from the smallest on: now, then each that is named.
            let now = State::default();
            let states: Vec<&State> = [&now]
                .into_iter()
                .chain(e.states.iter().map(|s| &self.states[*s]))
                .collect();
            // But for shares, what breaks an expectation is a matter of pool and class, and not of
            // the route.
            let mut seen: HashMap<(Option<usize>, &str), Broken> = HashMap::new();
            for (class, taken) in &taken {
                for case in self.cases(class, taken) {
                    cases += 1;
                    let look = || {
                        let each = states.iter().enumerate();
                        each.filter_map(|(n, s)| Some((n, self.breaks(e, &case, s)?)))
                            .next()
                    };
                    let by_pool = seen
                        .entry((case.pool.map(|(place, _)| place), class))
                        .or_insert_with(look);
                    let by_route = self.shares(e, &case).map(|wrong| (0, wrong));
                    let Some((state, wrong)) = by_pool.clone().or(by_route) else {
                        continue;
                    };
                    match &mut failure {
                        Some(first) => first.others += 1,
                        None => {
                            let request = case.taken.smallest(self.space)?;
                            let mut told = self.tell(&case, &request, wrong);
                            told.state = Some(states[state].name.clone()).filter(|n| !n.is_empty());
                            failure = Some(told);
                        }
                    }
                }
            }
        }
        Ok(Verdict {
            name: e.name.clone(),
            line: e.line,
            cases,
            failure,
        })
    }

    /// Names that the configuration does not have: the expectation would hold for the wrong reason.
    fn dangling(&self, e: &Expectation) -> Option<(String, String)> {
        let config = &self.generation.config;
        let pools: Vec<&str> = config.pools.iter().map(|p| p.name.as_str()).collect();
        let named = e.demands.iter().flat_map(|d| match d {
            Demand::Only(p) | Demand::Never(p) => p.pools.iter().collect::<Vec<_>>(),
            Demand::Share { pool, .. } => vec![pool],
            _ => Vec::new(),
        });
        let unknown = named.into_iter().find(|p| !pools.contains(&p.as_str()));
        if let Some(name) = unknown {
            return Some((
                format!("no pool {name:?}"),
                format!("one of {}", pools.join(", ")),
            ));
        }
        let tenant = e.scope.tenant.as_ref()?;
        let (listed, known) = (
            &config.tenants,
            self.here.tenants.as_ref().filter(|t| !t.is_empty()),
        );
        let lacks = |list: &Vec<String>| !list.is_empty() && !list.contains(tenant);
        let list = [Some(listed), known]
            .into_iter()
            .flatten()
            .find(|l| lacks(l))?;
        Some((
            format!("no tenant {tenant:?}"),
            format!("one of {}", list.join(", ")),
        ))
    }

    fn cases<'c>(&'c self, class: &'c str, taken: &'c Taken<'c>) -> Vec<Case<'c>> {
        let Some(route) = taken.route.map(|r| &self.generation.config.routes[r]) else {
            return vec![Case {
                taken,
                class,
                pool: None,
                as_served: None,
            }];
        };
        let gets = route.to.iter().filter(|s| s.weight > 0.0);
        gets.map(|share| {
            let pool = &self.generation.config.pools[share.pool];
            let as_served = pool.classes.iter().find(|c| c.name == class);
            Case {
                taken,
                class,
                pool: Some((share.pool, pool)),
                as_served,
            }
        })
        .collect()
    }

    fn tell(&self, case: &Case<'_>, request: &Region, wrong: Wrong) -> Failure {
        let route = case.taken.route.map(|r| &self.generation.config.routes[r]);
        // What was reasoned out is held against the table that routes.
        let asked = self
            .space
            .request(request, |r| self.generation.table.route(r).map(|r| r.line));
        let agree = asked == route.map(|r| r.line);
        Failure {
            request: Some(self.space.words(request)),
            route: route.map(|r| (r.name.clone(), r.line)),
            pool: case.pool.map(|(_, p)| p.name.clone()),
            state: None,
            lost: wrong.lost,
            found: if agree {
                wrong.found
            } else {
                format!("{} (but the table says otherwise)", wrong.found)
            },
            expected: wrong.expected,
            others: 0,
            open: wrong.open,
        }
    }

    fn breaks(&self, e: &Expectation, case: &Case<'_>, state: &State) -> Option<Wrong> {
        e.demands
            .iter()
            .find_map(|d| self.breaks_one(e, d, case, state))
    }

    fn breaks_one(
        &self,
        e: &Expectation,
        demand: &Demand,
        case: &Case<'_>,
        state: &State,
    ) -> Option<Wrong> {
        // What no pool serves is turned down, and reaches nothing.
        let served = case.pool.zip(case.as_served);
        match demand {
            Demand::Served(true) => match (case.pool, served) {
                (None, _) => wrong("no route takes it", "it to be served"),
                (Some(_), None) => wrong(
                    format!("class {:?} is not served there", case.class),
                    "it to be served",
                ),
                (_, Some(((place, pool), _))) => {
                    let idle = *state == State::default() && e.loss.is_none();
                    match self.spared(place, state) {
                        None if idle => None,
                        None => unknown(pool),
                        Some(own) => match nodes::left(&own, e.loss) {
                            (0, lost) => Some(Wrong {
                                open: false,
                                lost,
                                found: "no node takes new work".into(),
                                expected: "it to be served".into(),
                            }),
                            _ => None,
                        },
                    }
                }
            },
            Demand::Served(false) => {
                served.and_then(|_| wrong("it is served", "it to be turned down"))
            }
            _ => {
                let ((place, pool), class) = served?;
                match demand {
                    Demand::Only(places) => self.only(places, (place, pool), state),
                    Demand::Never(places) => self.never(places, (place, pool), state),
                    Demand::Again(most) => again(*most, class.effect),
                    Demand::Group(group) => match class.effect {
                        Effect::Keyed { group: is, .. } if is == *group => None,
                        other => wrong(
                            format!("it is {}", effect(other)),
                            format!("it to be keyed in the group {group:?}").to_lowercase(),
                        ),
                    },
                    Demand::Figure(figure, bound) => {
                        self.figure(e, *figure, bound, (place, pool), class, state)
                    }
                    Demand::Served(_) | Demand::Share { .. } => None,
                }
            }
        }
    }

    /// Shares of a route's requests that are out of bounds, once for each route: at the pool that
    /// is named, or where that gets nothing.
    fn shares(&self, e: &Expectation, case: &Case<'_>) -> Option<Wrong> {
        let (_, own) = case.pool?;
        let route = &self.generation.config.routes[case.taken.route?];
        let all: f64 = route.to.iter().map(|s| s.weight).sum();
        e.demands.iter().find_map(|demand| {
            let Demand::Share { pool, within } = demand else {
                return None;
            };
            let named = |s: &&Share| self.generation.config.pools[s.pool].name == *pool;
            let gets: f64 = route.to.iter().filter(named).map(|s| s.weight / all).sum();
            if own.name != *pool && gets > 0.0 || within.holds(gets) {
                return None;
            }
            wrong(
                format!("pool {pool:?} gets a share of {gets:.4}"),
                within.words(),
            )
        })
    }

    /// A pool's nodes that take new work in a state, where they are known.
    fn spared(&self, pool: usize, state: &State) -> Option<Vec<&Node>> {
        Some(
            self.pools[pool]
                .as_ref()?
                .iter()
                .filter(|n| state.spares(n))
                .collect(),
        )
    }

    fn only(&self, places: &Places, (place, pool): (usize, &Pool), state: &State) -> Option<Wrong> {
        if !places.pools.is_empty() && !places.pools.contains(&pool.name) {
            let found = format!("it goes to pool {:?}", pool.name);
            return wrong(found, format!("only {}", places.pools.join(", ")));
        }
        let Some(own) = self.spared(place, state) else {
            // What a registry will tell is bound by the labels that are asked of it.
            let bound =
                |label: &str, listed: &[String]| listed.is_empty() || selected(pool, label, listed);
            let blocks: Vec<String> = places.blocks.iter().map(u16::to_string).collect();
            let sure = places.nodes.is_empty()
                && bound("site", &places.sites)
                && bound("block", &blocks)
                && bound("class", &places.kinds);
            return if sure { None } else { unknown(pool) };
        };
        own.iter().find_map(|n| {
            let within = (places.nodes.is_empty() || places.nodes.contains(&n.address))
                && (places.sites.is_empty() || places.sites.contains(&n.site))
                && (places.blocks.is_empty() || places.blocks.contains(&n.block))
                && (places.kinds.is_empty() || places.kinds.contains(&n.class));
            if within {
                None
            } else {
                wrong(
                    format!("it may reach {}", stands(n)),
                    format!("only {}", words(places)),
                )
            }
        })
    }

    fn never(
        &self,
        places: &Places,
        (place, pool): (usize, &Pool),
        state: &State,
    ) -> Option<Wrong> {
        if places.pools.contains(&pool.name) {
            return wrong(
                format!("it goes to pool {:?}", pool.name),
                format!("never {}", places.pools.join(", ")),
            );
        }
        let Some(own) = self.spared(place, state) else {
            let apart = |label: &str, listed: &[String]| {
                listed.is_empty() || selected_beside(pool, label, listed)
            };
            let blocks: Vec<String> = places.blocks.iter().map(u16::to_string).collect();
            let sure = places.nodes.is_empty()
                && apart("site", &places.sites)
                && apart("block", &blocks)
                && apart("class", &places.kinds);
            return if sure { None } else { unknown(pool) };
        };
        own.iter().find_map(|n| {
            let named = places.nodes.contains(&n.address)
                || places.sites.contains(&n.site)
                || places.blocks.contains(&n.block)
                || places.kinds.contains(&n.class);
            if named {
                wrong(
                    format!("it may reach {}", stands(n)),
                    format!("never {}", words(places)),
                )
            } else {
                None
            }
        })
    }

    fn figure(
        &self,
        e: &Expectation,
        figure: Figure,
        bound: &Bound,
        (place, pool): (usize, &Pool),
        class: &Class,
        state: &State,
    ) -> Option<Wrong> {
        let settings = |figure: Option<u32>, what: &str| match figure {
            Some(n) => Ok((f64::from(n), Vec::new())),
            None => Err(wrong(
                format!("{what} is a matter of the daemon's settings, which are not known here"),
                "them to be told (`--settings FILE`)",
            )),
        };
        let found = match figure {
            Figure::Aim => Ok((class.aim_ms, Vec::new())),
            Figure::Deadline => Ok((class.deadline_ms, Vec::new())),
            Figure::Worth => Ok((class.worth, Vec::new())),
            Figure::Attempts => settings(self.here.attempts, "the number of attempts"),
            Figure::Open => settings(
                pool.open
                    .map(|n| self.here.open.map_or(n, |cap| cap.min(n)))
                    .or(self.here.open),
                "the number of open requests",
            ),
            Figure::Window => match class.effect {
                Effect::Keyed { window_ms, .. } => Ok((window_ms, Vec::new())),
                other => Err(wrong(format!("it is {}", effect(other)), "it to be keyed")),
            },
            Figure::Nodes => match self.spared(place, state) {
                Some(own) => {
                    let (left, lost) = nodes::left(&own, e.loss);
                    Ok((left as f64, lost))
                }
                None => Err(unknown(pool)),
            },
            Figure::Mates => match (class.effect, self.spared(place, state)) {
                (Effect::Keyed { group, .. }, Some(own)) => {
                    let (left, lost) = nodes::mates(&own, group, e.loss).unwrap_or_default();
                    Ok((left as f64, lost))
                }
                (_, None) => Err(unknown(pool)),
                (other, _) => Err(wrong(format!("it is {}", effect(other)), "it to be keyed")),
            },
        };
        let (found, lost) = match found {
            Ok(found) => found,
            Err(wrong) => return wrong,
        };
        let what = crate::file::FIGURES
            .iter()
            .find(|(_, f)| *f == figure)
            .map_or("", |(name, _)| name);
        (!bound.holds(found)).then(|| Wrong {
            open: false,
            lost,
            found: format!("{what} is {found}"),
            expected: bound.words(),
        })
    }
}

fn unknown(pool: &Pool) -> Option<Wrong> {
    let from = match &pool.source {
        Source::Registry {
            address: Some(address),
            ..
        } => format!("the registry at {address}"),
        _ => "the default registry".to_string(),
    };
    Some(Wrong {
        open: true,
        lost: Vec::new(),
        found: format!(
            "the nodes of pool {:?} are told by {from} and not known here",
            pool.name
        ),
        expected: "them to be told (`[[node]]`, or a daemon by `--live`)".into(),
    })
}

fn again(most: Again, is: Effect) -> Option<Wrong> {
    let (fine, expected) = match most {
        Again::Never => (
            is == Effect::Unsafe,
            "it never to be sent again once it may have run (\"unsafe\")",
        ),
        Again::Keyed => (
            is != Effect::Safe,
            "it to be sent again only where repeats are dropped",
        ),
    };
    if fine {
        None
    } else {
        wrong(format!("it is {}", effect(is)), expected)
    }
}

fn effect(e: Effect) -> String {
    match e {
        Effect::Safe => "safe to repeat anywhere".into(),
        Effect::Unsafe => "unsafe".into(),
        Effect::Keyed { group, window_ms } => {
            format!("keyed in the group {group:?} for {window_ms} ms").to_lowercase()
        }
    }
}

fn selected(pool: &Pool, label: &str, listed: &[String]) -> bool {
    let Source::Registry { select, .. } = &pool.source else {
        return false;
    };
    select.get(label).is_some_and(|want| listed.contains(want))
}

fn selected_beside(pool: &Pool, label: &str, listed: &[String]) -> bool {
    let Source::Registry { select, .. } = &pool.source else {
        return false;
    };
    select.get(label).is_some_and(|want| !listed.contains(want))
}

fn stands(n: &Node) -> String {
    format!(
        "{} (site {:?}, block {}, kind {:?})",
        n.address, n.site, n.block, n.class
    )
}

fn words(places: &Places) -> String {
    let list =
        |what: &str, of: Vec<String>| (!of.is_empty()).then(|| format!("{what} {}", of.join(", ")));
    let all = [
        list("pools", places.pools.clone()),
        list(
            "nodes",
            places.nodes.iter().map(SocketAddr::to_string).collect(),
        ),
        list("sites", places.sites.clone()),
        list("blocks", places.blocks.iter().map(u16::to_string).collect()),
        list("kinds", places.kinds.clone()),
    ];
    all.into_iter().flatten().collect::<Vec<_>>().join("; ")
}
