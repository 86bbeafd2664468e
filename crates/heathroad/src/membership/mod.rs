//! This proxy among its fellows: the sockets and the clock of `heathroad_membership`, and what
//! operators ask of it. Off unless the daemon's file names a file of the fleet.

pub mod activity_log;
pub mod audit;
mod file;

pub use file::read as read_record;

use crate::configuration::membership::Settings;
use crate::runtime_accounting::{sleep, sleep_until, spawn_local, timeout};
use activity_log::{ActivityLog, Committed};
use heathroad_membership::desired_version::Desired;
use heathroad_membership::protocol::carry::Carried;
use heathroad_membership::protocol::fetch::{Fetched, Unfetched};
use heathroad_membership::protocol::{Event, Membership};
use heathroad_membership::version::Digest;
use heathroad_membership::wire::{MAX_DATAGRAM, Resource};
use heathroad_membership::{MemberId, Millis};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::Instant;
use tracing::{info, warn};

/// A text of routes has so long to come.
const PULL: Duration = Duration::from_secs(30);
/// Datagrams that are read in one turn, so that requests get theirs.
const TURN: usize = 64;
/// The fleet is told of the time so often at the least.
const MOST: Duration = Duration::from_secs(60);
/// A proxy that has to be sure of what is required asks so many times in the span for which an
/// answer makes it sure.
const CONFIRMS: u32 = 6;
/// Events that are kept to be asked for.
const KEPT: usize = 200;
/// Pause between two looks whether a text can be fetched, where too many are.
const CROWDED: Duration = Duration::from_millis(20);

type Waiting = oneshot::Sender<Fetched>;

/// Texts that others than the fleet itself tell.
type Texts = Box<dyn Fn(Resource, Digest) -> Option<Vec<u8>>>;

/// From when on, Unix time in milliseconds, and for how long.
pub struct Span {
    begun: u64,
    within: Millis,
}

/// A text that was fetched, and the span in which it was as it is.
pub struct FetchedResource {
    /// The text.
    pub bytes: Vec<u8>,
    span: Span,
}

/// This proxy among its fellows.
pub struct MembershipService {
    name: String,
    fleet: RefCell<Membership>,
    socket: UdpSocket,
    addresses: Vec<SocketAddr>,
    acts: Rc<ActivityLog>,
    started: Instant,
    stirred: Notify,
    waiting: RefCell<HashMap<u32, Waiting>>,
    news: RefCell<VecDeque<(u64, Event)>>,
    state: Option<PathBuf>,
    /// A proxy that has confirmed nothing for so long does not know what is required.
    sure_for: Option<Duration>,
    wanted: watch::Sender<Desired>,
    came: Notify,
    texts: RefCell<Option<Texts>>,
}

impl MembershipService {
    /// Opens the peers' port, and begins. The record is kept in `state`, where there is such a
    /// folder.
    pub async fn begin(
        settings: Settings,
        seed: u64,
        acts: Rc<ActivityLog>,
        state: Option<PathBuf>,
    ) -> Result<Rc<MembershipService>, String> {
        let Settings {
            name,
            seal,
            listen,
            addresses,
            own,
            terms,
            fence_unsure_after: sure_for,
            ..
        } = settings;
        let socket = UdpSocket::bind(listen)
            .await
            .map_err(|e| format!("fleet: {listen}: {e}"))?;
        let members =
            u16::try_from(addresses.len()).map_err(|_| "fleet: too many peers".to_string())?;
        let mut fleet = Membership::new(0, seal, own, members, acts.incarnation(), seed, terms);
        fleet.act_on(acts.version());
        let (fleet, started) = (RefCell::new(fleet), Instant::now());
        let wanted = watch::Sender::new(Desired::Unset);
        let (stirred, waiting, news) = (Notify::new(), RefCell::default(), RefCell::default());
        let peers = Rc::new(MembershipService {
            name,
            fleet,
            socket,
            addresses,
            acts,
            started,
            stirred,
            waiting,
            news,
            state,
            sure_for,
            wanted,
            came: Notify::new(),
            texts: RefCell::default(),
        });
        spawn_local(peers.clone().run());
        if let Some(folder) = peers.state.clone() {
            spawn_local(file::keep(folder, peers.acts.clone()));
        }
        Ok(peers)
    }

    /// This proxy's place.
    pub fn member_id(&self) -> MemberId {
        self.fleet.borrow().own()
    }

    /// When this proxy's monotonic clock was at 0.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Milliseconds of this proxy's monotonic clock.
    pub fn now(&self) -> Millis {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    async fn run(self: Rc<Self>) {
        loop {
            let due = self.fleet.borrow().due();
            // Where it has to be sure, it looks after that more often than the protocol would have
            // it.
            let most = self.sure_for.map_or(MOST, |sure| sure / CONFIRMS);
            let due = (self.started + Duration::from_millis(due)).min(Instant::now() + most);
            tokio::select! {
                biased;
                _ = self.socket.readable() => self.read(),
                () = self.acts.changed() => {}
                () = self.stirred.notified() => {}
                () = sleep_until(due) => {
                    // What has come counts before it is said that nothing has.
                    self.read();
                    let now = self.now();
                    self.fleet.borrow_mut().tick(now);
                }
            }
            self.look_at_acts();
            self.carry_out();
        }
    }

    /// What this proxy acts on, for its fellows; and what is required, for its acts.
    fn look_at_acts(&self) {
        let (now, mut fleet) = (self.now(), self.fleet.borrow_mut());
        fleet.act_on(self.acts.version());
        if let Some(Committed {
            number,
            digest,
            within,
        }) = self.acts.committed()
        {
            fleet.want(now, number, digest, within);
        }
        let instant = |at: Millis| self.started + Duration::from_millis(at);
        let wanted = fleet.table().wanted();
        self.acts.known(fleet.table().highest_generation());
        let required = fleet.table().required().all().iter();
        self.acts
            .require(required.map(|r| (*r, instant(r.at))).collect());
        if let Some(sure_for) = self.sure_for {
            let age = now.saturating_sub(fleet.confirmed().unwrap_or(0));
            if age >= u64::try_from((sure_for / CONFIRMS).as_millis()).unwrap_or(u64::MAX) {
                fleet.confirm(now);
            }
            let confirmed = fleet.confirmed().filter(|_| fleet.majority());
            self.acts
                .sure_until(confirmed.map(|at| instant(at) + sure_for));
        }
        drop(fleet);
        self.wanted
            .send_if_modified(|known| std::mem::replace(known, wanted) != wanted);
        // Its being fenced begins and ends also while nothing is asked of it.
        self.acts.is_fenced();
    }

    fn read(&self) {
        let mut bytes = [0; MAX_DATAGRAM + 1];
        for _ in 0..TURN {
            // A send that was refused by some port shows here as an error; it says nothing of what
            // lies behind it.
            match self.socket.try_recv_from(&mut bytes) {
                Ok((length, _)) => {
                    let now = self.now();
                    self.fleet.borrow_mut().receive(now, &bytes[..length]);
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(_) => {}
            }
        }
        if self.fleet.borrow().any_carried() {
            self.came.notify_one();
        }
    }

    /// Waits until messages of others than the fleet itself have come.
    pub async fn messages_received(&self) {
        self.came.notified().await;
    }

    /// Those that came since the last look.
    pub fn take_messages(&self) -> Vec<Carried> {
        self.fleet.borrow_mut().carried().collect()
    }

    /// Sends such a message.
    pub fn send_message(&self, to: MemberId, bytes: Vec<u8>) {
        let now = self.now();
        self.fleet.borrow_mut().carry(now, to, bytes);
        self.send_out();
    }

    /// Who is there, and this proxy too if it is `willing` to be counted.
    pub fn present_members(&self, willing: bool) -> Vec<MemberId> {
        let fleet = self.fleet.borrow();
        let own = fleet.own();
        fleet
            .table()
            .there()
            .filter(|p| willing || *p != own)
            .collect()
    }

    /// Has texts that the fleet itself does not know told by somebody.
    pub fn serve_resources(&self, texts: Texts) {
        self.texts.replace(Some(texts));
    }

    fn carry_out(&self) {
        let mut fleet = self.fleet.borrow_mut();
        let asked: Vec<_> = fleet.asked().collect();
        for one in asked {
            let text = match one.topic {
                Resource::ActivityRecord => serde_json::to_vec(&self.acts.snapshot()).ok(),
                Resource::Routes => self.acts.routes(one.key).map(|t| t.as_bytes().to_vec()),
                Resource::LeaseHistory | Resource::CollectedRecords => self
                    .texts
                    .borrow()
                    .as_ref()
                    .and_then(|texts| texts(one.topic, one.key)),
            };
            let now = self.now();
            fleet.serve(now, one, text);
        }
        drop(fleet);
        self.send_out();
        let mut fleet = self.fleet.borrow_mut();
        for fetched in fleet.fetched() {
            if let Some(waiting) = self.waiting.borrow_mut().remove(&fetched.id) {
                // Whoever asked may have left.
                let _ = waiting.send(fetched);
            }
        }
        for news in fleet.news() {
            self.tell(news);
        }
    }

    fn send_out(&self) {
        for send in self.fleet.borrow_mut().sends() {
            if let Some(to) = self.addresses.get(usize::from(send.to)) {
                // One that can't go now is lost, as any may be.
                let _ = self.socket.try_send_to(&send.bytes, *to);
            }
        }
    }

    fn tell(&self, news: Event) {
        let mut kept = self.news.borrow_mut();
        if kept.len() == KEPT {
            kept.pop_front();
        }
        kept.push_back((self.acts.now(), news));
        drop(kept);
        match news {
            Event::CutOff => self.acts.cut_off(),
            Event::Heard => self.acts.heard_again(),
            Event::Woke { after } => self.acts.stalled(after),
            _ => {}
        }
        match news {
            Event::Up { member, life } => {
                info!(member, life, "fleet: member {member} is there, life {life}")
            }
            Event::Suspected { member, by } => {
                info!(member, by, "fleet: member {member} is suspected by {by}")
            }
            Event::Refuted { member } => info!(member, "fleet: member {member} is there after all"),
            Event::Gone { member } => warn!(member, "fleet: member {member} is gone"),
            Event::Left { member } => info!(member, "fleet: member {member} has left"),
            Event::Reborn { life } => {
                warn!(life, "fleet: was taken for gone, goes on in life {life}")
            }
            Event::Woke { after } => warn!(after, "fleet: did nothing for {after} ms"),
            Event::Wanted { number, digest } => {
                info!(number, %digest, "fleet: generation {number} is wanted, digest {digest}")
            }
            Event::Conflict {
                number,
                digests: [a, b],
            } => warn!(
                number,
                %a,
                %b,
                "fleet: generation {number} was committed twice, {a} and {b}: neither is spread"
            ),
            Event::Required { number } => info!(number, "fleet: generation {number} is required"),
            Event::CutOff => warn!("fleet: nobody is heard"),
            Event::Heard => info!("fleet: somebody is heard again"),
            Event::Acts { .. } => {}
        }
    }

    /// Tells others that this proxy stops, and nothing from then on.
    pub fn leave(&self) {
        self.acts.close();
        if let Some(folder) = &self.state
            && let Err(e) = file::write(folder, &self.acts.snapshot())
        {
            tracing::warn!("fleet: record: {}: {e}", folder.display());
        }
        let now = self.now();
        self.fleet.borrow_mut().leave(now);
        self.carry_out();
    }

    /// What all are to act on.
    pub fn watch_desired(&self) -> watch::Receiver<Desired> {
        self.wanted.subscribe()
    }

    /// What this proxy acts on.
    pub fn activity_log(&self) -> &Rc<ActivityLog> {
        &self.acts
    }

    /// The text of routes, from some member that acts on them, by chance; nothing where none is
    /// known, or none came.
    pub async fn fetch_routes(&self, routes: Digest) -> Option<String> {
        let from = self.fleet.borrow_mut().source_of(routes)?;
        let text = self
            .fetch(from, Resource::Routes, routes, PULL)
            .await
            .ok()?
            .bytes;
        String::from_utf8(text).ok()
    }

    /// Fetches a text from a member, with the span in which it was as it is.
    pub async fn fetch(
        &self,
        to: MemberId,
        topic: Resource,
        key: Digest,
        most: Duration,
    ) -> Result<FetchedResource, Unfetched> {
        let (id, begun) = loop {
            let (now, begun) = (self.now(), self.acts.now());
            let id = self.fleet.borrow_mut().fetch(now, to, topic, key);
            match id {
                Some(id) => break (id, begun),
                None => sleep(CROWDED).await,
            }
        };
        let (tell, told) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, tell);
        self.stirred.notify_one();
        let came = timeout(most, told).await;
        self.waiting.borrow_mut().remove(&id);
        let fetched = came.ok().and_then(Result::ok).ok_or(Unfetched::Silence)?;
        Ok(FetchedResource {
            bytes: fetched.text?,
            span: Span {
                begun,
                within: fetched.within,
            },
        })
    }

    /// Who is there, as JSON.
    pub fn members(&self) -> Value {
        let now = self.now();
        let fleet = self.fleet.borrow();
        let mut members: Vec<Value> = Vec::new();
        for view in fleet.members(now) {
            let place = usize::from(view.place);
            let mut told = serde_json::to_value(&view).unwrap_or_default();
            told["address"] = self.addresses.get(place).map(ToString::to_string).into();
            told["me"] = (view.place == fleet.own()).into();
            members.push(told);
        }
        let news: Vec<Value> = self
            .news
            .borrow()
            .iter()
            .map(|(at, n)| json!({"at": at, "news": n}))
            .collect();
        json!({
            "fleet": self.name, "place": fleet.own(), "at": self.acts.now(), "cut_off": fleet.cut_off(),
            "wanted": fleet.table().wanted(), "required": fleet.table().required(), "fenced": self.acts.is_fenced(),
            "silent_ms": fleet.silent_for(now), "doubt": fleet.doubt(), "traffic": fleet.traffic(),
            "members": members, "news": news,
        })
    }
}
