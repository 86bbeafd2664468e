//! Which routes the requests of a region take. A route takes what it matches and no narrower route
//! does. Routes are nested or apart, so that the narrower ones next to it are apart from each
//! other, and counting decides: where the kinds that they match are as many as the region has, it
//! is left with none.

use crate::space::{Region, Space};
use heathroad_routing::condition::Match;
use heathroad_routing::generation::Generation;
use std::fmt;

/// The routes of a configuration over a space.
#[derive(Debug)]
pub struct Routes {
    /// By route; none for one that no request can match.
    regions: Vec<Option<Region>>,
    /// Routes just within each.
    inner: Vec<Vec<usize>>,
    /// Those that are in no other.
    roots: Vec<usize>,
}

/// Requests that take one route, or none.
#[derive(Debug)]
pub struct Taken<'r> {
    /// Place of the route.
    pub route: Option<usize>,
    /// Requests that take it or a narrower one.
    region: Region,
    /// What narrower ones take: all apart.
    holes: Vec<&'r Region>,
}

/// A region has more kinds than can be counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooMany;

impl fmt::Display for TooMany {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("more kinds of requests than can be counted")
    }
}

/// How many kinds a region has, in the dimensions in which some hole is narrower than it.
fn count(region: &Region, within: &Region, holes: &[&Region]) -> Result<u128, TooMany> {
    let (mut count, all) = (1u128, region.intervals().iter().zip(within.intervals()));
    for (d, (own, outer)) in all.enumerate() {
        let narrower = |h: &&Region| {
            let hole = &h.intervals()[d];
            hole.start > outer.start || hole.end < outer.end
        };
        if holes.iter().any(narrower) {
            count = count
                .checked_mul(u128::from(own.end - own.start))
                .ok_or(TooMany)?;
        }
    }
    Ok(count)
}

/// Whether a region has a kind that is in none of some holes, which are apart from each other.
fn open(region: &Region, holes: &[&Region]) -> Result<bool, TooMany> {
    let holes: Vec<&Region> = holes.iter().copied().filter(|h| h.meets(region)).collect();
    let mut left = count(region, region, &holes)?;
    for hole in &holes {
        let Some(part) = hole.meet(region) else {
            continue;
        };
        left = left.saturating_sub(count(&part, region, &holes)?);
    }
    Ok(left > 0)
}

impl Routes {
    /// The routes of a checked generation.
    pub fn new(generation: &Generation, space: &Space) -> Routes {
        let regions: Vec<Option<Region>> = generation
            .config
            .routes
            .iter()
            .map(|r| space.region(&r.when))
            .collect();
        let (mut inner, mut roots) = (vec![Vec::new(); regions.len()], Vec::new());
        for (route, outer) in generation.table.outer().into_iter().enumerate() {
            match outer {
                _ if regions[route].is_none() => {}
                Some(outer) => inner[outer].push(route),
                None => roots.push(route),
            }
        }
        Routes {
            regions,
            inner,
            roots,
        }
    }

    /// By class, what requests that fulfil a match take.
    pub fn by_class<'s>(
        &'s self,
        space: &'s Space,
        scope: &Match,
    ) -> Result<Vec<(&'s str, Taken<'s>)>, TooMany> {
        let Some(scope) = space.region(scope) else {
            return Ok(Vec::new());
        };
        let mut all = Vec::new();
        for region in space.worlds().iter().filter_map(|world| world.meet(&scope)) {
            for (place, class) in space.classes(&region) {
                let found = self.taken(&space.of_class(&region, place))?;
                all.extend(found.into_iter().map(|t| (class, t)));
            }
        }
        Ok(all)
    }

    /// Every route that some request of a region takes, and whether some takes none.
    pub fn taken(&self, region: &Region) -> Result<Vec<Taken<'_>>, TooMany> {
        let mut found = Vec::new();
        let mut open_ends = vec![(None, region.clone(), &self.roots)];
        while let Some((route, region, inner)) = open_ends.pop() {
            let mut holes = Vec::new();
            for i in inner {
                let Some(own) = &self.regions[*i] else {
                    continue;
                };
                if let Some(part) = own.meet(&region) {
                    holes.push(own);
                    open_ends.push((Some(*i), part, &self.inner[*i]));
                }
            }
            if open(&region, &holes)? {
                found.push(Taken {
                    route,
                    region,
                    holes,
                });
            }
        }
        found.sort_by_key(|t| t.route);
        Ok(found)
    }
}

impl Taken<'_> {
    /// The request that says the least: of all that take the route, one that differs in the fewest
    /// things from a request of which nothing is told.
    pub fn smallest(&self, space: &Space) -> Result<Region, TooMany> {
        let free: Vec<usize> = (0..self.region.intervals().len())
            .filter(|d| {
                let own = &self.region.intervals()[*d];
                own.end - own.start > 1
            })
            .collect();
        let usual = |except: &[usize]| {
            let pin = |r: Region, d: &usize| {
                let value = space.usual(&r, *d);
                r.with(*d, value..value + 1)
            };
            free.iter()
                .filter(|d| !except.contains(d))
                .fold(self.region.clone(), pin)
        };
        for told in subsets(&free) {
            let region = usual(&told);
            if open(&region, &self.holes)? {
                return self.narrow(region, &told);
            }
        }
        self.narrow(self.region.clone(), &free)
    }

    /// One request of a region that has some, value by value.
    fn narrow(&self, mut region: Region, free: &[usize]) -> Result<Region, TooMany> {
        for d in free {
            for value in region.intervals()[*d].clone() {
                let one = region.with(*d, value..value + 1);
                if open(&one, &self.holes)? {
                    region = one;
                    break;
                }
            }
        }
        Ok(region)
    }
}

/// Subsets from the smallest on; of many dimensions only the small ones, behind which all are free.
fn subsets(of: &[usize]) -> impl Iterator<Item = Vec<usize>> {
    let n = of.len();
    let sizes = if n <= 10 { n } else { 2 };
    (0..=sizes).flat_map(move |size| choose(of, size))
}

fn choose(of: &[usize], size: usize) -> Vec<Vec<usize>> {
    match (size, of) {
        (0, _) => vec![Vec::new()],
        (_, []) => Vec::new(),
        (_, [first, rest @ ..]) => {
            let with = choose(rest, size - 1)
                .into_iter()
                .map(|c| [vec![*first], c].concat());
            with.chain(choose(rest, size)).collect()
        }
    }
}
