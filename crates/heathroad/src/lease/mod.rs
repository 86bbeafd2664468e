//! This proxy's part in its fleet's duties: the clock, the disk and the ways of `heathroad_lease`,
//! and the work that is done where a duty is held. Off unless the file of the fleet names voters.
//!
//! `store` keeps what a voter must not forget; `work` is what a duty's work is given, `call` and
//! `collect` are two of them; `told` is what operators ask.

pub mod audit_collector;
mod http_call;
pub mod status;
mod store;
mod worker;

pub use store::Store;

use crate::configuration::lease::{Kind, Settings};
use crate::membership::MembershipService;
use crate::runtime_accounting::{sleep_until, spawn_local};
use audit_collector::Collection;
use heathroad_lease::DutyId;
use heathroad_lease::duties::{Duties as Core, Output, Settings as CoreSettings};
use heathroad_lease::message::What;
use heathroad_lease::seat::{Ended, Event};
use heathroad_lease::token::Token;
use heathroad_lease::voter::Mark;
use heathroad_membership::wire::Resource;
use heathroad_membership::{MemberId, Millis};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{Mutex, Notify, watch};
use tokio::task::{JoinHandle, spawn_blocking};
use tokio::time::Instant;
use worker::Hold;

/// The duties are told of the time, and of who is there, so often at the least.
const MOST: Duration = Duration::from_millis(500);
/// Spells of this proxy's own that are kept of each duty.
const KEPT: usize = 64;

/// A spell of this proxy's own, by its own clock: Unix time in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub struct Own {
    /// By which token.
    pub token: Token,
    /// From when on.
    pub from: u64,
    /// Until when; none while it is held.
    pub to: Option<u64>,
    /// Why it ended.
    pub why: Option<Ended>,
}

/// A duty that can be held here.
struct One {
    name: String,
    kind: Kind,
    /// Its work, while it is held.
    work: RefCell<Option<JoinHandle<()>>>,
    own: RefCell<VecDeque<Own>>,
    /// Why the work gave it back last.
    unfit: RefCell<Option<String>>,
}

/// A voter's word on how a duty stands there.
#[derive(Debug, Clone)]
pub struct Stand {
    /// Which voter.
    pub voter: MemberId,
    /// Its word.
    pub what: What,
}

/// This proxy's duties.
pub struct Duties {
    core: RefCell<Core>,
    peers: Rc<MembershipService>,
    store: Option<Store>,
    lease: Duration,
    all: BTreeMap<DutyId, One>,
    stirred: Notify,
    /// What quorums keep: of each duty, the last mark that is.
    saved: watch::Sender<BTreeMap<DutyId, (Token, u32)>>,
    stands: RefCell<BTreeMap<DutyId, Vec<Stand>>>,
    collection: Rc<Collection>,
    stopping: Cell<bool>,
    carrying: Mutex<()>,
    /// The last write has failed, and that was said.
    failing: Cell<bool>,
    me: Weak<Duties>,
}

impl Duties {
    /// Begins, with what is remembered on disk where there is one.
    pub async fn begin(
        settings: Settings,
        seed: u64,
        peers: Rc<MembershipService>,
        store: Option<Store>,
    ) -> Result<Rc<Duties>, String> {
        let Settings {
            electorate,
            terms,
            duties,
        } = settings;
        let memory = store
            .as_ref()
            .map(Store::memory)
            .transpose()?
            .unwrap_or_default();
        let collection = Collection::new(
            store
                .as_ref()
                .map(Store::collected)
                .transpose()?
                .flatten()
                .as_deref(),
        );
        let ids = duties.iter().map(|d| DutyId::of(&d.name)).collect();
        let own = peers.member_id();
        let core = CoreSettings {
            own,
            electorate,
            terms,
            duties: ids,
            seed,
        };
        let core = RefCell::new(Core::new(
            peers.now(),
            peers.activity_log().now(),
            core,
            memory,
        ));
        let one = |d: crate::configuration::lease::Duty| {
            let (work, own, unfit) = (RefCell::default(), RefCell::default(), RefCell::default());
            (
                DutyId::of(&d.name),
                One {
                    name: d.name,
                    kind: d.kind,
                    work,
                    own,
                    unfit,
                },
            )
        };
        let duties = Rc::new_cyclic(|me| Duties {
            core,
            peers: peers.clone(),
            store,
            lease: Duration::from_millis(terms.lease),
            all: duties.into_iter().map(one).collect(),
            stirred: Notify::new(),
            saved: watch::Sender::new(BTreeMap::new()),
            stands: RefCell::default(),
            collection,
            stopping: Cell::new(false),
            carrying: Mutex::default(),
            failing: Cell::new(false),
            me: me.clone(),
        });
        let texts = duties.me.clone();
        peers.serve_resources(Box::new(move |topic, key| {
            let duties = texts.upgrade()?;
            match topic {
                Resource::LeaseHistory => serde_json::to_vec(&duties.told()).ok(),
                Resource::CollectedRecords => duties.collection.text(key),
                Resource::ActivityRecord | Resource::Routes => None,
            }
        }));
        spawn_local(duties.clone().run());
        if duties
            .all
            .values()
            .any(|one| matches!(one.kind, Kind::Collect { .. }))
        {
            spawn_local(audit_collector::mirror(duties.clone()));
        }
        Ok(duties)
    }

    async fn run(self: Rc<Self>) {
        loop {
            let due = Duration::from_millis(self.core.borrow().due());
            let due = self
                .peers
                .started()
                .checked_add(due)
                .unwrap_or_else(Instant::now);
            let due = due.min(Instant::now() + MOST);
            tokio::select! {
                biased;
                () = self.peers.messages_received() => {}
                () = self.stirred.notified() => {}
                () = sleep_until(due) => {}
            }
            self.turn().await;
        }
    }

    /// What has come, and what is due.
    async fn turn(&self) {
        let (now, fenced) = (self.peers.now(), self.peers.activity_log().is_fenced());
        let willing = !self.stopping.get() && !fenced;
        {
            let mut core = self.core.borrow_mut();
            core.unix(self.peers.activity_log().now());
            core.present(self.peers.present_members(willing));
            // What has come counts before it is said that nothing has.
            for carried in self.peers.take_messages() {
                core.receive(now, carried.from, carried.incarnation, &carried.bytes);
            }
            core.tick(now);
            if fenced {
                self.all.keys().for_each(|duty| {
                    if core.holds(now, *duty).is_some() {
                        core.resign(now, *duty, Ended::Fenced);
                    }
                });
            }
        }
        self.carry_out().await;
    }

    /// Carries out, in order, what the core wants done: what must be on disk is there before what
    /// is behind it goes.
    async fn carry_out(&self) {
        // One at a time: an older memory must not be written behind a newer one.
        let _turn = self.carrying.lock().await;
        loop {
            let outputs: Vec<Output> = self.core.borrow_mut().outputs().collect();
            if outputs.is_empty() {
                return;
            }
            // One write for all of a turn: the last one holds what the earlier ones do.
            let last = outputs.iter().rev().find_map(|o| {
                if let Output::Keep(m) = o {
                    Some(m)
                } else {
                    None
                }
            });
            let kept = if let Some((memory, store)) = last.cloned().zip(self.store.clone()) {
                let kept = spawn_blocking(move || store.keep(&memory)).await;
                kept.unwrap_or_else(|e| Err(e.to_string()))
            } else {
                Ok(())
            };
            if let Err(e) = &kept
                && !self.failing.replace(true)
            {
                tracing::warn!("duties: {e}: nothing is granted");
            }
            self.failing.set(kept.is_err());
            for output in outputs {
                match output {
                    Output::Keep(_) => {}
                    // What can't be kept must not be promised.
                    Output::Send(send)
                        if kept.is_err()
                            && matches!(
                                send.message.what,
                                What::Granted { .. } | What::Kept { .. }
                            ) => {}
                    Output::Send(send) if send.to == self.peers.member_id() => {
                        let (now, life) =
                            (self.peers.now(), self.peers.activity_log().incarnation());
                        self.core
                            .borrow_mut()
                            .hear(now, send.to, life, send.message);
                    }
                    Output::Send(send) => self.peers.send_message(send.to, send.message.write()),
                    Output::Event(duty, event) => self.event(duty, event),
                    Output::Stands(voter, duty, what) => {
                        let mut stands = self.stands.borrow_mut();
                        let of = stands.entry(duty).or_default();
                        of.retain(|s| s.voter != voter);
                        of.push(Stand { voter, what });
                    }
                }
            }
        }
    }

    fn event(&self, duty: DutyId, event: Event) {
        let Some(one) = self.all.get(&duty) else {
            return;
        };
        let name = &one.name;
        match event {
            Event::Begin { token, mark } => {
                tracing::info!(duty = %name, %token, "duty {name}: held from now on, by token {token}");
                let mut own = one.own.borrow_mut();
                if own.len() >= KEPT {
                    own.pop_front();
                }
                own.push_back(Own {
                    token,
                    from: self.peers.activity_log().now(),
                    to: None,
                    why: None,
                });
                drop(own);
                self.end_work(one);
                self.begin_work(duty, one, token, mark);
            }
            Event::End { token, why } => {
                tracing::info!(duty = %name, %token, ?why, "duty {name}: no longer held: {why:?}");
                let to = Some(self.peers.activity_log().now());
                if let Some(own) = one
                    .own
                    .borrow_mut()
                    .iter_mut()
                    .rev()
                    .find(|o| o.token == token)
                {
                    (own.to, own.why) = (to, Some(why));
                }
                self.end_work(one);
            }
            Event::Saved { token, seq } => {
                self.saved.send_modify(|saved| {
                    saved.insert(duty, (token, seq));
                });
            }
        }
    }

    fn begin_work(&self, duty: DutyId, one: &One, token: Token, mark: Option<Mark>) {
        let hold = Hold::new(self.me.clone(), duty, one.name.clone(), token, mark);
        let work: Pin<Box<dyn Future<Output = String>>> = match &one.kind {
            Kind::Call(to) => Box::pin(http_call::call(hold.clone(), to.clone())),
            Kind::Collect { every } => Box::pin(audit_collector::collect(
                hold.clone(),
                self.peers.clone(),
                self.me.clone(),
                *every,
            )),
        };
        let task = spawn_local(async move {
            // Work ends by itself where it can't be done: somebody else is to try.
            let why = work.await;
            hold.unfit(why);
        });
        one.work.replace(Some(task));
    }

    fn end_work(&self, one: &One) {
        if let Some(work) = one.work.take() {
            work.abort();
        }
    }

    /// The token by which a duty is held now: to be asked before each act.
    fn holds(&self, duty: DutyId) -> Option<Token> {
        self.core.borrow().holds(self.peers.now(), duty)
    }

    fn let_go(&self, duty: DutyId, why: Ended) {
        let now = self.peers.now();
        self.core.borrow_mut().resign(now, duty, why);
        self.stirred.notify_one();
    }

    /// Lets go of a duty that is held here; whether there is one of that name. One that resigns
    /// does not seek it for ten leases.
    pub fn resign(&self, name: &str) -> Option<bool> {
        let (duty, _) = self.all.iter().find(|(_, one)| one.name == name)?;
        let held = self.holds(*duty).is_some();
        self.let_go(*duty, Ended::Told);
        Some(held)
    }

    /// This proxy stops: others are to have its duties.
    pub async fn stop(&self) {
        self.stopping.set(true);
        let now = self.peers.now();
        for duty in self.all.keys() {
            self.core.borrow_mut().resign(now, *duty, Ended::Stops);
        }
        self.carry_out().await;
    }
}

/// A time of this proxy's monotonic clock as Unix time in milliseconds.
fn unix_at(peers: &MembershipService, at: Millis) -> u64 {
    let (now, unix) = (peers.now(), peers.activity_log().now());
    unix.saturating_sub(now).saturating_add(at)
}
