//! Where pools by routes hear of their nodes: lists in the configuration, and registries.

use super::routed_pools::{Many, PoolRun, Registry};
use crate::discovery::endpoint_list::{Health, Host};
use crate::discovery::{self, News};
use crate::runtime_accounting::spawn_local;
use crate::time::millis;
use heathroad_balancer::api::UpdateKind;
use heathroad_routing::file::{self, Source};
use heathroad_routing::nodes::{self, Standing};
use heathroad_verifier::Node;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

impl Many {
    /// Tells a listed pool's engine its backends, with what is known of them from elsewhere.
    pub(super) fn list(&self, run: &PoolRun) {
        let Source::List(members) = &run.pool.source else {
            return;
        };
        let zone = usize::from(self.base.facts.balancer.zone);
        let own = self
            .base
            .facts
            .site
            .zones
            .get(zone)
            .cloned()
            .unwrap_or_default();
        let nodes = self.nodes.borrow();
        let host = |m: &file::Member| Host {
            host: m.address.to_string(),
            dial: Some(m.address),
            site: if m.site.is_empty() {
                own.clone()
            } else {
                m.site.clone()
            },
            class: String::new(),
            block: m.block,
            health: match nodes.standing(m.address) {
                Standing::Takes => Health::Serving,
                Standing::Withdrawn => Health::Draining,
            },
            share: m.weight,
            born_ms: 0.0,
        };
        run.engine
            .update_endpoints(UpdateKind::Snapshot, members.iter().map(host).collect());
    }

    pub(super) fn follow(self: &Rc<Self>, address: SocketAddr) {
        let many = Rc::downgrade(self);
        let hear = move |news| {
            if let Some(many) = many.upgrade() {
                many.hear(address, news);
            }
        };
        // These are lists that are pushed: there is nothing to be wanted.
        let (_, wanted) = watch::channel(true);
        let grace = millis(self.base.facts.site.drain_grace);
        let following =
            spawn_local(discovery::follow(hear, address, false, grace, wanted)).abort_handle();
        self.registries.borrow_mut().insert(
            address,
            Registry {
                hosts: BTreeMap::new(),
                following,
            },
        );
    }

    pub(super) fn hear(self: &Rc<Self>, from: SocketAddr, news: News) {
        let News::List(kind, hosts, seq) = news else {
            return;
        };
        if let Some(acts) = &self.base.acts {
            acts.endpoint_list_received(from, seq);
        }
        self.retell(from, kind, hosts);
    }

    /// Tells pools what a registry has told.
    fn retell(self: &Rc<Self>, from: SocketAddr, kind: UpdateKind, hosts: Vec<Host>) {
        self.news.set(self.news.get() + 1);
        let mut changed = BTreeSet::new();
        // Hosts whose labels change, as they were told before and now.
        let mut moved: Vec<(Host, &Host)> = Vec::new();
        {
            let mut registries = self.registries.borrow_mut();
            let Some(registry) = registries.get_mut(&from) else {
                return;
            };
            let mut nodes = self.nodes.borrow_mut();
            let mut tell = |host: &Host, takes: bool, dial: Option<SocketAddr>| {
                let Some(dial) = dial else { return };
                let born = host.born_ms.max(0.0) as u64;
                nodes.told(dial, born, takes);
                if takes {
                    nodes.restored(dial, born);
                }
                changed.insert(dial);
            };
            if kind != UpdateKind::Delta {
                let named: BTreeSet<&String> = hosts.iter().map(|h| &h.host).collect();
                registry.hosts.retain(|name, host| {
                    let stays = named.contains(name);
                    if !stays {
                        tell(host, false, host.dial);
                    }
                    stays
                });
            }
            for h in &hosts {
                let known = registry.hosts.get(&h.host);
                if let Some(before) = known.filter(|k| labels(k) != labels(h)) {
                    moved.push((before.clone(), h));
                }
                let dial = if kind == UpdateKind::Delta {
                    h.dial.or(known.and_then(|b| b.dial))
                } else {
                    h.dial
                };
                tell(h, h.health == Health::Serving, dial);
                match h.health {
                    Health::Deleted => drop(registry.hosts.remove(&h.host)),
                    _ => drop(registry.hosts.insert(h.host.clone(), h.clone())),
                }
            }
        }
        // A host whose labels changed leaves one pool for another: first it leaves, since a process
        // that a pool withdraws is withdrawn for all who send to it, and then the other pool begins
        // with it anew.
        let runs = self.present();
        for run in &runs {
            let Source::Registry { address, select } = &run.pool.source else {
                continue;
            };
            let leaves = |(old, new): &(Host, &Host)| {
                let gone = || Host {
                    health: Health::Deleted,
                    ..(*new).clone()
                };
                (chosen(old, select) && !chosen(new, select)).then(gone)
            };
            if address.unwrap_or(self.registry.get()) == from {
                let left: Vec<Host> = moved.iter().filter_map(leaves).collect();
                if !left.is_empty() {
                    run.engine.update_endpoints(UpdateKind::Delta, left);
                }
            }
        }
        for run in &runs {
            match &run.pool.source {
                Source::Registry { address, select }
                    if address.unwrap_or(self.registry.get()) == from =>
                {
                    let known = |h: &Host| {
                        let health = if chosen(h, select) {
                            h.health
                        } else {
                            Health::Deleted
                        };
                        Host {
                            health,
                            ..h.clone()
                        }
                    };
                    run.engine
                        .update_endpoints(kind, hosts.iter().map(known).collect());
                }
                // A node that is told of by a registry is the same node where a list names it.
                Source::List(members) if members.iter().any(|m| changed.contains(&m.address)) => {
                    self.list(run);
                }
                _ => {}
            }
        }
    }

    /// A node that several runs send to is one node: together they keep to its cold budget.
    pub(super) fn share_cold(&self) {
        let runs = self.present();
        let dials: Vec<BTreeSet<SocketAddr>> = runs
            .iter()
            .map(|r| {
                r.engine
                    .available_targets()
                    .iter()
                    .map(|t| t.address)
                    .collect()
            })
            .collect();
        for (run, sharers) in runs.iter().zip(nodes::sharers(&dials)) {
            run.engine.share_warm_up(sharers);
        }
    }

    /// Every run that is kept, or still has requests.
    pub(super) fn present(&self) -> Vec<Rc<PoolRun>> {
        self.alive
            .borrow()
            .iter()
            .filter_map(|(_, run)| run.upgrade())
            .collect()
    }

    /// The default registry has moved: the whole list is asked for there.
    pub fn move_registry(self: &Rc<Self>, to: SocketAddr) {
        let from = self.registry.replace(to);
        if from == to || !self.registries.borrow().contains_key(&from) {
            return;
        }
        let known = self
            .registries
            .borrow()
            .get(&to)
            .map(|r| r.hosts.values().cloned().collect());
        match known {
            // Some pool follows it already.
            Some(hosts) => self.retell(to, UpdateKind::Snapshot, hosts),
            None => self.follow(to),
        }
        self.tidy();
    }

    /// The nodes that registries tell, and those of lists that are known to be withdrawn.
    pub fn known_nodes(&self) -> Vec<Node> {
        let out: BTreeSet<SocketAddr> = self.nodes.borrow().withdrawn().collect();
        let mut known = Vec::new();
        for (registry, told) in &*self.registries.borrow() {
            let node = |h: &Host| {
                let address = h.dial?;
                let takes = h.health == Health::Serving && !out.contains(&address);
                let (registry, site, class) = (Some(*registry), h.site.clone(), h.class.clone());
                Some(Node {
                    address,
                    registry,
                    site,
                    class,
                    block: h.block,
                    takes,
                })
            };
            known.extend(told.hosts.values().filter_map(node));
        }
        let told: BTreeSet<SocketAddr> = known.iter().map(|n| n.address).collect();
        let gone = out
            .difference(&told)
            .map(|address| Node::withdrawn(*address));
        known.extend(gone);
        known
    }
}

/// What pools can choose a registry's host by.
fn labels(host: &Host) -> (&str, &str, u16) {
    (&host.site, &host.class, host.block)
}

/// Whether a registry's host bears the labels that a pool asks for.
pub(super) fn chosen(host: &Host, select: &BTreeMap<String, String>) -> bool {
    select.iter().all(|(label, want)| match label.as_str() {
        "site" => host.site == *want,
        "class" => host.class == *want,
        _ => host.block.to_string() == *want,
    })
}
