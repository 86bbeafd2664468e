//! Which route a request takes: the most specific one that matches. Routes with conditions on the
//! same fields are of one shape; a shape is one hash look-up, and shapes are tried from the most
//! specific on. Two routes that could both be the most specific for some request are a clash, found
//! when the table is made and not when that request comes.

use crate::condition::{Request, Shape};
use crate::file::{Config, Route};
use crate::split::{self, Share};
use std::collections::{BTreeSet, HashMap};

/// Most shapes; each costs every request a look-up.
pub const MAX_SHAPES: usize = 128;

/// Two routes that could both win.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Clash {
    /// Place of the one.
    pub one: usize,
    /// Place of the other, which stands behind it.
    pub other: usize,
    /// They match the very same requests; else only some alike.
    pub same: bool,
}

impl Clash {
    /// In words, at the place of the other.
    pub fn reason(&self, one: &Route) -> String {
        if self.same {
            format!(
                "matches the same requests as route {:?} of line {}, unreachable",
                one.name, one.line
            )
        } else {
            format!(
                "some requests match it and route {:?} of line {}, neither more specific",
                one.name, one.line
            )
        }
    }
}

/// Finds the routes that clash, one other for each at the most. (Too many shapes are found by
/// [`Table::new`].)
pub fn clashes(routes: &[Route]) -> Vec<Clash> {
    let mut by_shape: HashMap<Shape, Vec<usize>> = HashMap::new();
    for (i, r) in routes.iter().enumerate() {
        by_shape.entry(r.when.shape()).or_default().push(i);
    }
    let mut shapes: Vec<&Shape> = by_shape.keys().collect();
    shapes.sort();
    let (mut clashes, mut named) = (Vec::new(), BTreeSet::new());
    for (n, one) in shapes.iter().enumerate().take(MAX_SHAPES) {
        for other in shapes.iter().skip(n).take(MAX_SHAPES) {
            let meet = one.meet(other);
            // Where one looks at nothing that the other does not, it is the less specific, and no
            // clash.
            if n < shapes.len() && (meet == **one || meet == **other) && one != other {
                continue;
            }
            let mut seen: HashMap<u64, Vec<usize>> = HashMap::new();
            for i in &by_shape[*one] {
                if let Some(key) = routes[*i].when.under(&meet) {
                    seen.entry(key).or_default().push(*i);
                }
            }
            for j in &by_shape[*other] {
                let Some(key) = routes[*j].when.under(&meet) else {
                    continue;
                };
                let Some(i) = seen
                    .get(&key)
                    .and_then(|list| list.iter().find(|i| **i != *j))
                else {
                    continue;
                };
                let (first, second) = (*i.min(j), *i.max(j));
                if named.insert(second) {
                    clashes.push(Clash {
                        one: first,
                        other: second,
                        same: one == other,
                    });
                }
            }
        }
    }
    clashes.sort_by_key(|c| c.other);
    clashes
}

/// The routes of a configuration, ready to be asked.
#[derive(Debug)]
pub struct Table {
    /// From the most specific on.
    shapes: Vec<(Shape, HashMap<u64, Vec<u32>>)>,
    routes: Vec<Route>,
    pools: Vec<String>,
}

impl Table {
    /// Compiles a checked configuration's routes; more than [`MAX_SHAPES`] kinds of conditions are
    /// told.
    pub fn new(config: &Config) -> Result<Table, String> {
        let mut by_shape: HashMap<Shape, HashMap<u64, Vec<u32>>> = HashMap::new();
        for (i, route) in config.routes.iter().enumerate() {
            let shape = route.when.shape();
            if let Some(key) = route.when.under(&shape) {
                by_shape
                    .entry(shape)
                    .or_default()
                    .entry(key)
                    .or_default()
                    .push(i as u32);
            }
        }
        if by_shape.len() > MAX_SHAPES {
            return Err(format!(
                "route: {} kinds of conditions; expected {MAX_SHAPES} at most, for each costs every request a look-up",
                by_shape.len()
            ));
        }
        let mut shapes: Vec<_> = by_shape.into_iter().collect();
        shapes.sort_by(|(a, _), (b, _)| b.rank().cmp(&a.rank()).then_with(|| a.cmp(b)));
        let pools = config.pools.iter().map(|p| p.name.clone()).collect();
        Ok(Table {
            shapes,
            routes: config.routes.clone(),
            pools,
        })
    }

    /// The route that a request takes: the most specific one that matches.
    pub fn route(&self, request: &Request<'_>) -> Option<&Route> {
        self.shapes.iter().find_map(|(shape, routes)| {
            let found = routes.get(&shape.key(request)?)?;
            // Keys are hashes: what they find is looked at.
            found
                .iter()
                .map(|i| &self.routes[*i as usize])
                .find(|r| r.when.matches(request))
        })
    }

    /// For each route the place of the narrowest other one that matches all that it matches. The
    /// routes of a checked configuration are nested or apart: two that only overlap are a clash.
    pub fn outer(&self) -> Vec<Option<usize>> {
        let outer = |route: &Route| {
            let own = route.when.shape();
            // They are tried from the most specific on.
            self.shapes
                .iter()
                .filter(|(s, _)| *s != own && s.meet(&own) == *s)
                .find_map(|(shape, routes)| {
                    let found = routes.get(&route.when.under(shape)?)?;
                    let around = |i: &&u32| {
                        route
                            .when
                            .sample(|r| self.routes[**i as usize].when.matches(r))
                    };
                    found.iter().find(around).map(|i| *i as usize)
                })
        };
        self.routes.iter().map(outer).collect()
    }

    /// Where a request with a key goes by a route; `key` is what keeps together what belongs
    /// together.
    pub fn share(&self, route: &Route, key: u64) -> Option<usize> {
        split::pick(&route.to, &self.pools, key).map(|s: &Share| s.pool)
    }
}
