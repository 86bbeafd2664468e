//! An immutable snapshot of a configuration, with its number and digest.
//!
//! A request binds to the current generation when it arrives and keeps it until its final response.

use crate::condition::RequestAttributes;
use crate::config::error::{ConfigError, ConfigErrors};
use crate::config::{self, Config, Listener, Method, Pool, TenantSource};
use crate::table::{MAX_SHAPES, RouteTable, TooManyShapes};
use sha2::{Digest, Sha256};
use std::fmt::Write;
use std::rc::Rc;

/// The number of leading bytes of the SHA-256 hash in a digest.
const DIGEST_BYTES: usize = 8;

/// A snapshot of a configuration. Reference counting keeps it until the last request bound to it
/// ends.
#[derive(Debug)]
pub struct Generation {
    /// The number, which increases with each applied change, including rollbacks.
    pub number: u64,
    /// The digest of the text.
    pub digest: String,
    /// The text of the configuration file.
    pub text: String,
    /// The parsed text.
    pub config: Config,
    /// The routing table of the configuration.
    pub table: RouteTable,
}

impl Generation {
    /// Parses and checks a configuration text. `file` is its name in error messages.
    ///
    /// # Errors
    ///
    /// Returns all errors of the text, sorted by line.
    pub fn parse(number: u64, file: &str, text: &str) -> Result<Rc<Generation>, ConfigErrors> {
        let errors = |list| ConfigErrors {
            file: file.to_string(),
            list,
        };
        let config = config::parse(file, text)?;
        let pool_names = config.pools.iter().map(|pool| pool.name.clone()).collect();
        let table = RouteTable::new(config.routes.clone(), pool_names)
            .map_err(|error| errors(vec![too_many_shapes(error)]))?;
        let unserved = find_unserved_methods(&config, &table);
        if !unserved.is_empty() {
            return Err(errors(unserved));
        }
        Ok(Rc::new(Generation {
            number,
            digest: digest_text(text),
            text: text.to_string(),
            config,
            table,
        }))
    }

    /// Finds a pool by name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.config.pools.iter().find(|pool| pool.name == name)
    }

    /// Iterates over the names of the pools that another generation lacks or defines differently.
    pub fn pools_differing_from<'a>(
        &'a self,
        other: &'a Generation,
    ) -> impl Iterator<Item = &'a str> {
        let pools = self.config.pools.iter();
        let differing = pools.filter(|pool| other.pool(&pool.name) != Some(pool));
        differing.map(|pool| pool.name.as_str())
    }
}

/// Returns the digest of a configuration text, which is the same on every machine.
pub fn digest_text(text: &str) -> String {
    let hash = Sha256::digest(text.as_bytes());
    let mut digest = String::new();
    for byte in hash.iter().take(DIGEST_BYTES) {
        // Writing to a string cannot fail.
        let _ = write!(digest, "{byte:02x}");
    }
    digest
}

fn too_many_shapes(error: TooManyShapes) -> ConfigError {
    ConfigError {
        line: 1,
        field: "route".into(),
        reason: format!("{} condition shapes", error.count),
        expected: format!("at most {MAX_SHAPES}, since each costs every request a lookup"),
    }
}

/// Finds methods whose calls are routed to a pool that does not speak JSON-RPC or does not serve
/// their class. Such calls could never be served.
fn find_unserved_methods(config: &Config, table: &RouteTable) -> Vec<ConfigError> {
    let mut errors = Vec::new();
    for listener in &config.listeners {
        let mut methods: Vec<_> = listener.methods.iter().collect();
        methods.sort_by_key(|(name, _)| *name);
        for (name, method) in methods {
            errors.extend(find_unserved_destinations(
                config, table, listener, name, method,
            ));
        }
    }
    errors
}

fn find_unserved_destinations(
    config: &Config,
    table: &RouteTable,
    listener: &Listener,
    method_name: &str,
    method: &Method,
) -> Vec<ConfigError> {
    let tenant = match &listener.tenant_source {
        TenantSource::Fixed(tenant) => tenant,
        _ => "",
    };
    let route = table.find_route(&RequestAttributes {
        listener: &listener.name,
        host: "",
        path: "",
        method: method_name,
        class: &method.class,
        tenant,
        header: &|_| None,
    });
    let Some(route) = route else {
        return Vec::new();
    };
    let pools = route.destinations.iter().map(|d| &config.pools[d.pool]);
    let unserved = pools.filter(|pool| {
        pool.jsonrpc.is_none() || pool.classes.iter().all(|c| c.name != method.class)
    });
    unserved
        .map(|pool| ConfigError {
            line: route.line,
            field: format!("route {:?}", route.name),
            reason: format!(
                "calls of {method_name:?} on listener {:?} go to pool {:?}",
                listener.name, pool.name
            ),
            expected: format!("a pool with [pool.rpc] that serves {:?}", method.class),
        })
        .collect()
}
