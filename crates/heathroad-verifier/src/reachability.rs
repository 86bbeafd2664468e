//! Reachability: the routes that the requests of a region take.
//!
//! A route takes the requests that it matches and no narrower route matches. Any two routes are
//! nested or disjoint, so the routes directly nested in one are disjoint. If the kinds of requests
//! that these match add up to all kinds of the outer route, it takes no requests itself.

use crate::request_space::{Region, RequestSpace};
use heathroad_routing::condition::RouteCondition;
use heathroad_routing::generation::Generation;

/// The maximum number of dimensions of which all subsets are tried for the smallest request. With
/// more dimensions, only subsets of up to two are tried.
const MAX_FULLY_SEARCHED_DIMENSIONS: usize = 10;

/// The error of a region with more kinds of requests than can be counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("more kinds of requests than can be counted")]
pub struct TooManyKinds;

/// The routes of a configuration, as regions of a request space.
#[derive(Debug)]
pub struct RouteRegions {
    /// The region of each route. `None` if no request can match.
    regions: Vec<Option<Region>>,
    /// The routes directly nested in each route.
    nested: Vec<Vec<usize>>,
    /// The routes that are nested in no other route.
    outermost: Vec<usize>,
}

/// The requests that take a route, or none.
#[derive(Debug)]
pub struct RoutedRequests<'r> {
    /// The index of the route. `None` if no route matches the requests.
    pub route: Option<usize>,
    /// The requests that take the route or a narrower one.
    region: Region,
    /// The disjoint regions of the narrower routes.
    excluded: Vec<&'r Region>,
}

/// The requests of one class that take a route, or none.
#[derive(Debug)]
pub struct ClassRequests<'r> {
    /// The name of the class.
    pub class: &'r str,
    /// The requests.
    pub requests: RoutedRequests<'r>,
}

/// Counts the kinds of a part of a region, in the dimensions in which some excluded region is
/// narrower than the whole region.
fn count_kinds(part: &Region, whole: &Region, excluded: &[&Region]) -> Result<u128, TooManyKinds> {
    let mut count = 1u128;
    let intervals = part.intervals().iter().zip(whole.intervals());
    for (dimension, (own, outer)) in intervals.enumerate() {
        let is_narrower = |region: &&Region| {
            let interval = &region.intervals()[dimension];
            interval.start > outer.start || interval.end < outer.end
        };
        if excluded.iter().any(is_narrower) {
            let size = u128::from(own.end - own.start);
            count = count.checked_mul(size).ok_or(TooManyKinds)?;
        }
    }
    Ok(count)
}

/// Whether a region contains a kind of request outside all excluded regions, which are disjoint.
fn has_remaining_kind(region: &Region, excluded: &[&Region]) -> Result<bool, TooManyKinds> {
    let mut relevant = excluded.to_vec();
    relevant.retain(|other| other.intersects(region));
    let mut remaining = count_kinds(region, region, &relevant)?;
    for other in &relevant {
        if let Some(part) = other.intersection(region) {
            remaining = remaining.saturating_sub(count_kinds(&part, region, &relevant)?);
        }
    }
    Ok(remaining > 0)
}

impl RouteRegions {
    /// Returns the regions of the routes of a checked generation.
    pub fn new(generation: &Generation, space: &RequestSpace) -> RouteRegions {
        let routes = generation.config.routes.iter();
        let regions: Vec<Option<Region>> =
            routes.map(|route| space.region(&route.condition)).collect();
        let mut nested = vec![Vec::new(); regions.len()];
        let mut outermost = Vec::new();
        let enclosing_routes = generation.table.enclosing_routes();
        for (route, enclosing) in enclosing_routes.into_iter().enumerate() {
            match enclosing {
                _ if regions[route].is_none() => {}
                Some(enclosing) => nested[enclosing].push(route),
                None => outermost.push(route),
            }
        }
        RouteRegions {
            regions,
            nested,
            outermost,
        }
    }

    /// Divides the requests that fulfil a condition by class and route.
    ///
    /// # Errors
    ///
    /// Fails if there are more kinds of requests than can be counted.
    pub fn divide_by_class<'s>(
        &'s self,
        space: &'s RequestSpace,
        condition: &RouteCondition,
    ) -> Result<Vec<ClassRequests<'s>>, TooManyKinds> {
        let Some(scope) = space.region(condition) else {
            return Ok(Vec::new());
        };
        let mut divided = Vec::new();
        let entry_points = space.entry_points().iter();
        for region in entry_points.filter_map(|entry_point| entry_point.intersection(&scope)) {
            for (value, class) in space.classes(&region) {
                let routed = self.divide(&space.with_class(&region, value))?;
                let of_class = routed
                    .into_iter()
                    .map(|requests| ClassRequests { class, requests });
                divided.extend(of_class);
            }
        }
        Ok(divided)
    }

    /// Divides the requests of a region by the routes that they take.
    ///
    /// # Errors
    ///
    /// Fails if there are more kinds of requests than can be counted.
    pub fn divide(&self, region: &Region) -> Result<Vec<RoutedRequests<'_>>, TooManyKinds> {
        let mut divided = Vec::new();
        let mut pending = vec![(None, region.clone(), &self.outermost)];
        while let Some((route, region, nested)) = pending.pop() {
            let mut excluded = Vec::new();
            for index in nested {
                let Some(own) = &self.regions[*index] else {
                    continue;
                };
                if let Some(part) = own.intersection(&region) {
                    excluded.push(own);
                    pending.push((Some(*index), part, &self.nested[*index]));
                }
            }
            if has_remaining_kind(&region, &excluded)? {
                divided.push(RoutedRequests {
                    route,
                    region,
                    excluded,
                });
            }
        }
        divided.sort_by_key(|requests| requests.route);
        Ok(divided)
    }
}

impl RoutedRequests<'_> {
    /// Returns the smallest request: the one that differs from the default values in the fewest
    /// attributes.
    ///
    /// # Errors
    ///
    /// Fails if there are more kinds of requests than can be counted.
    pub fn smallest_request(&self, space: &RequestSpace) -> Result<Region, TooManyKinds> {
        let intervals = self.region.intervals().iter().enumerate();
        let free: Vec<usize> = intervals
            .filter(|(_, interval)| interval.end - interval.start > 1)
            .map(|(dimension, _)| dimension)
            .collect();
        for varied in subsets(&free) {
            let region = self.fix_default_values(space, &free, &varied);
            if has_remaining_kind(&region, &self.excluded)? {
                return self.narrow(region, &varied);
            }
        }
        self.narrow(self.region.clone(), &free)
    }

    /// Returns the region with the default value in each free dimension that is not varied.
    fn fix_default_values(&self, space: &RequestSpace, free: &[usize], varied: &[usize]) -> Region {
        let mut region = self.region.clone();
        for dimension in free.iter().filter(|dimension| !varied.contains(dimension)) {
            let default = space.default_value(&region, *dimension);
            region = region.with_value(*dimension, default);
        }
        region
    }

    /// Narrows a region with a remaining request to one such request, dimension by dimension.
    fn narrow(&self, mut region: Region, dimensions: &[usize]) -> Result<Region, TooManyKinds> {
        for dimension in dimensions {
            for value in region.intervals()[*dimension].clone() {
                let candidate = region.with_value(*dimension, value);
                if has_remaining_kind(&candidate, &self.excluded)? {
                    region = candidate;
                    break;
                }
            }
        }
        Ok(region)
    }
}

/// Returns subsets of the dimensions, the smallest first.
fn subsets(dimensions: &[usize]) -> impl Iterator<Item = Vec<usize>> {
    let count = dimensions.len();
    let max_size = if count <= MAX_FULLY_SEARCHED_DIMENSIONS {
        count
    } else {
        2
    };
    (0..=max_size).flat_map(move |size| combinations(dimensions, size))
}

fn combinations(items: &[usize], size: usize) -> Vec<Vec<usize>> {
    match (size, items) {
        (0, _) => vec![Vec::new()],
        (_, []) => Vec::new(),
        (_, [first, rest @ ..]) => {
            let with_first = combinations(rest, size - 1).into_iter();
            let with_first = with_first.map(|tail| [vec![*first], tail].concat());
            with_first.chain(combinations(rest, size)).collect()
        }
    }
}
