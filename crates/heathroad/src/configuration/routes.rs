//! Files of routes and pools, read and checked.

use heathroad_routing::generation::Generation;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

/// Reads and checks a file; an error has a line for everything that is wrong.
pub fn read(path: &Path) -> Result<Rc<Generation>, String> {
    numbered(path, 0)
}

/// The same under a number.
pub fn numbered(path: &Path, number: u64) -> Result<Rc<Generation>, String> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    Generation::read(number, &name, &text).map_err(|e| e.to_string())
}

/// A pool whose backends are the daemon itself sends requests round and round.
pub fn rounds(generation: &Generation, listens: SocketAddr) -> Result<(), String> {
    match generation.config.rounds(listens).next() {
        None => Ok(()),
        Some(pool) => Err(format!(
            "routes: pool {:?}: one of its backends is this daemon itself, at {listens}; expected servers",
            pool.name
        )),
    }
}
