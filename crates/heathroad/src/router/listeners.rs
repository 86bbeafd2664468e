//! Sockets of the JSON-RPC listeners in the configuration.

use super::RouterError;
use super::routed_pools::RoutedPools;
use heathroad_routing::config::Listener;
use heathroad_routing::generation::Generation;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;

impl RoutedPools {
    /// Returns the listeners of the generation in force, with their sockets.
    pub fn listeners(&self) -> Vec<(Listener, Rc<TcpListener>)> {
        let (generation, sockets) = (self.current_generation(), self.sockets.borrow());
        let with_socket = |listener: &Listener| {
            let socket = sockets.get(&(listener.name.clone(), listener.address))?;
            Some((listener.clone(), socket.clone()))
        };
        let listeners = generation.config.listeners.iter();
        listeners.filter_map(with_socket).collect()
    }

    /// Returns a receiver that is notified when the listeners may have changed.
    pub fn listener_changes(&self) -> watch::Receiver<()> {
        self.listeners_changed.subscribe()
    }

    /// Opens the listeners of a generation that are not open yet.
    pub(super) fn open_listeners(&self, generation: &Generation) -> Result<(), RouterError> {
        for listener in &generation.config.listeners {
            let Listener { name, address, .. } = listener;
            let key = (name.clone(), *address);
            if self.sockets.borrow().contains_key(&key) {
                continue;
            }
            let opened = open_socket(*address);
            let (socket, bound) = opened.map_err(|source| RouterError::Listen {
                name: name.clone(),
                address: *address,
                source,
            })?;
            tracing::info!(listener = name, address = %bound, "listener {name} on {bound}");
            self.sockets.borrow_mut().insert(key, Rc::new(socket));
        }
        Ok(())
    }

    /// Closes the listeners that the generation in force does not have.
    pub(super) fn close_unused_listeners(&self) {
        let generation = self.current_generation();
        self.sockets.borrow_mut().retain(|(name, address), _| {
            let mut listeners = generation.config.listeners.iter();
            listeners.any(|l| l.name == *name && l.address == *address)
        });
    }
}

/// Binds a non-blocking socket, and returns it with the address that it is bound to.
fn open_socket(address: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let socket = std::net::TcpListener::bind(address)?;
    socket.set_nonblocking(true)?;
    let bound = socket.local_addr()?;
    Ok((TcpListener::from_std(socket)?, bound))
}
