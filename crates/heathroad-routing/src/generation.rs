//! A configuration as it is in force: an immutable snapshot with number and digest. A request binds
//! to one when it is taken and keeps it to its final answer.

use crate::condition::Request;
use crate::fault::{Fault, Faults};
use crate::file::{self, Config, Pool, TenantFrom};
use crate::table::Table;
use sha2::{Digest, Sha256};
use std::fmt::Write;
use std::rc::Rc;

/// A snapshot. It is shared by reference count; the last request that is bound to it lets it go.
#[derive(Debug)]
pub struct Generation {
    /// Its number; it grows with each change that is applied, undoing included.
    pub number: u64,
    /// Tells its text from others.
    pub digest: String,
    /// The text that it was read from.
    pub text: String,
    /// What that says.
    pub config: Config,
    /// Its routes.
    pub table: Table,
}

/// A text's digest: the same on every machine.
pub fn digest(text: &str) -> String {
    Sha256::digest(text.as_bytes())
        .iter()
        .take(8)
        .fold(String::new(), |mut hex, byte| {
            // Writing to text does not fail.
            let _ = write!(hex, "{byte:02x}");
            hex
        })
}

/// Methods whose calls some route takes to a pool that does not speak JSON-RPC or does not serve
/// their class, whoever calls: they would never be served.
fn unserved(config: &Config, table: &Table) -> Vec<Fault> {
    let mut faults = Vec::new();
    for l in &config.listeners {
        let mut methods: Vec<_> = l.methods.iter().collect();
        methods.sort_by_key(|(name, _)| *name);
        for (name, method) in methods {
            let request = Request {
                listener: &l.name,
                host: "",
                path: "",
                method: name,
                class: &method.class,
                tenant: match &l.tenant {
                    TenantFrom::Fixed(tenant) => tenant,
                    _ => "",
                },
                header: &|_| None,
            };
            let Some(route) = table.route(&request) else {
                continue;
            };
            for pool in route.to.iter().map(|s| &config.pools[s.pool]) {
                if pool.rpc.is_some() && pool.classes.iter().any(|c| c.name == method.class) {
                    continue;
                }
                faults.push(Fault {
                    line: route.line,
                    field: format!("route {:?}", route.name),
                    reason: format!(
                        "calls of {name:?} on listener {:?} go to pool {:?}",
                        l.name, pool.name
                    ),
                    expected: format!("a pool with [pool.rpc] that serves {:?}", method.class),
                });
            }
        }
    }
    faults
}

impl Generation {
    /// Reads and checks a text whole; what is wrong is told all at once.
    pub fn read(number: u64, file: &str, text: &str) -> Result<Rc<Generation>, Faults> {
        let config = file::read(file, text)?;
        let table = Table::new(&config).map_err(|said| {
            let (reason, expected) = said.split_once("; expected ").unwrap_or((&said, ""));
            let reason = reason.trim_start_matches("route: ").to_string();
            let fault = Fault {
                line: 1,
                field: "route".into(),
                reason,
                expected: expected.into(),
            };
            Faults {
                file: file.to_string(),
                list: vec![fault],
            }
        })?;
        let faults = unserved(&config, &table);
        if !faults.is_empty() {
            return Err(Faults {
                file: file.to_string(),
                list: faults,
            });
        }
        Ok(Rc::new(Generation {
            number,
            digest: digest(text),
            text: text.to_string(),
            config,
            table,
        }))
    }

    /// A pool by its name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.config.pools.iter().find(|p| p.name == name)
    }

    /// The names of its pools that another generation lacks or words otherwise.
    pub fn pools_unlike<'a>(&'a self, other: &'a Generation) -> impl Iterator<Item = &'a str> {
        self.config
            .pools
            .iter()
            .filter(|p| other.pool(&p.name) != Some(p))
            .map(|p| p.name.as_str())
    }
}
