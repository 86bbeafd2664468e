//! The started program with one pool over JSON-RPC and one listener.

use super::rpc::{Node, Raw, Script};
use super::scene::{addresses, classes};
use super::{Discovery, Proxy, ask, counts, settings, write_file};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;

/// One pool that serves the rig's classes over JSON-RPC, `calls` at once on a connection, and one
/// listener.
pub struct Plan<'a> {
    pub nodes: &'a [SocketAddr],
    pub calls: u32,
    pub deadline_ms: u32,
    /// More of the pool's `rpc`, of the listener, and of the file.
    pub rpc: &'a str,
    pub listener: &'a str,
    pub more: &'a str,
}

impl Default for Plan<'_> {
    fn default() -> Self {
        Plan {
            nodes: &[],
            calls: 1,
            deadline_ms: 20_000,
            rpc: "",
            listener: "",
            more: "",
        }
    }
}

impl Plan<'_> {
    pub fn text(&self) -> String {
        let Plan {
            nodes,
            calls,
            deadline_ms,
            rpc,
            listener,
            more,
        } = self;
        let method = |name: &str, class: &str, more: &str| {
            format!("[[listener.method]]\nname = \"{name}\"\nclass = \"{class}\"\n{more}\n")
        };
        format!(
            "[[pool]]\nname = \"p\"\nbackends = {}\nrpc = {{ calls = {calls}{rpc} }}\n{}\
             [[route]]\nname = \"all\"\npool = \"p\"\n\
             [[listener]]\nname = \"claims\"\nlisten = \"127.0.0.1:0\"\nprotocol = \"json-rpc\"\n{}{listener}\n{}{}{}{more}",
            addresses(nodes),
            classes(*deadline_ms, *deadline_ms),
            if listener.contains("tenant") {
                ""
            } else {
                "tenant = \"acme\"\n"
            },
            method("claims.look", "look", ""),
            method("claims.keep", "keep", "key = \"/claim/id\""),
            method("claims.once", "once", ""),
        )
    }
}

pub struct Scene {
    pub proxy: Proxy,
    pub addr: SocketAddr,
    pub admin: SocketAddr,
    _discovery: Discovery,
}

pub async fn scene(plan: &Plan<'_>) -> Scene {
    let discovery = Discovery::start(vec![]).await;
    let file = write_file(".toml", &plan.text());
    let mut config = discovery.config(settings());
    config["admin"] = "127.0.0.1:0".into();
    config["routes"] = file.to_str().expect("text").into();
    config["probation_ms"] = 20.into();
    let (proxy, listeners, admin) = Proxy::start_with_listeners(&config, &["claims"]).await;
    Scene {
        proxy,
        addr: listeners[0],
        admin,
        _discovery: discovery,
    }
}

impl Scene {
    pub async fn raw(&self) -> Raw {
        Raw::to(self.addr).await
    }

    pub async fn ask(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        ask(self.admin, method, path, body).await
    }

    pub async fn counts(&self) -> Value {
        counts(self.admin).await
    }
}

pub async fn nodes(names: &[&'static str]) -> (Arc<Script>, Vec<Node>, Vec<SocketAddr>) {
    let script = Arc::new(Script::default());
    let mut list = Vec::new();
    for name in names {
        list.push(Node::start(name, &script).await);
    }
    let addresses = list.iter().map(|n| n.addr).collect();
    (script, list, addresses)
}
