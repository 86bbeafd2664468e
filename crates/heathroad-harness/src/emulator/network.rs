//! The network between proxies. Each directed pair talks through a relay of its own, which loses,
//! delays, repeats, tears or cuts by what it is told, drawn from a seed; what was done to each
//! message is on record.
//!
//! Proxies reach each other by datagrams alone (the platform knows no other way), so these are all
//! that is relayed. A proxy is told addresses of its own for all others, as on the platform, and
//! hears each from the address that it sends to.

use crate::clock::{Clock, Micros};
use fastrand::Rng;
use std::cell::RefCell;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// Longest datagram that proxies may send, in bytes; a longer one is on record as too long.
pub const MAX_DATAGRAM: usize = 256;
/// Most messages that are kept on record; further ones are counted alone.
const MAX_RECORD: usize = 1_000_000;
/// Most messages that are on their way of one pair; a slow link's queue is as long.
const UNDER_WAY: usize = 512;

/// What a way does to messages. All shares are from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Link {
    /// Share lost.
    pub loss: f64,
    /// Least time.
    pub delay: Duration,
    /// Further time, drawn anew for each: messages overtake each other.
    pub jitter: Duration,
    /// Share that comes twice.
    pub duplication: f64,
    /// Share of which half comes.
    pub truncation: f64,
    /// Bytes a second, where that is bounded.
    pub rate: Option<f64>,
    /// Nothing comes through.
    pub blocked: bool,
    /// It is cut and whole by turns of this length.
    pub flap_period: Option<Duration>,
}

impl Default for Link {
    fn default() -> Self {
        let none = Duration::ZERO;
        Link {
            loss: 0.0,
            delay: none,
            jitter: none,
            duplication: 0.0,
            truncation: 0.0,
            rate: None,
            blocked: false,
            flap_period: None,
        }
    }
}

/// What was done to a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// It went on.
    Delivered,
    /// It went on, and a second time.
    Duplicated,
    /// Half of it went on.
    Truncated,
    /// It was lost by chance.
    Lost,
    /// The way was cut.
    Blocked,
    /// Too many were under way.
    QueueFull,
    /// It was longer than may be, and did not go on.
    TooLong,
}

/// A message, as the relay saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Message {
    /// When it came to the relay.
    pub at: Micros,
    /// Who sent it.
    pub from: u16,
    /// To whom.
    pub to: u16,
    /// Its bytes.
    pub length: u16,
    /// What was done to it.
    pub delivery: Delivery,
    /// How much later it went on.
    pub delay: Micros,
}

struct Links {
    all: Vec<Link>,
    proxies: u16,
    record: Vec<Message>,
    unrecorded: u64,
}

impl Links {
    fn place(&self, from: u16, to: u16) -> usize {
        usize::from(from) * usize::from(self.proxies) + usize::from(to)
    }
}

/// A running network. It ends when it is dropped.
pub struct Network {
    /// The seed of its chance.
    pub seed: u64,
    ways: Arc<Mutex<Links>>,
    listen_address: Vec<SocketAddr>,
    /// By who is told, the addresses of all.
    peers: Vec<Vec<SocketAddr>>,
    _stop: watch::Sender<()>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Drop for Network {
    fn drop(&mut self) {
        self._stop.send_replace(());
        if let Some(thread) = self.thread.take() {
            // It ends with its channel; a panic there has been printed.
            let _ = thread.join();
        }
    }
}

fn sockets(ip: [u8; 3], proxies: u16) -> io::Result<(Vec<SocketAddr>, Vec<std::net::UdpSocket>)> {
    // The proxies open theirs themselves: an address of this process's own keeps its port for them.
    let listens = (0..proxies).map(|i| {
        let [a, b, c] = ip;
        SocketAddr::new(
            IpAddr::V4(Ipv4Addr::new(a, b, c, (i % 250) as u8 + 1)),
            7946 + i / 250,
        )
    });
    let listens: Vec<SocketAddr> = listens.collect();
    let mut relays = Vec::new();
    for _ in 0..usize::from(proxies) * usize::from(proxies) {
        let socket = std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_nonblocking(true)?;
        relays.push(socket);
    }
    Ok((listens, relays))
}

impl Network {
    /// Begins a network for so many proxies (64 at most), on a loopback network `ip` that nobody
    /// else uses.
    pub fn start(ip: [u8; 3], proxies: u16, seed: u64, clock: Clock) -> io::Result<Network> {
        if proxies > 64 {
            return Err(io::Error::other("64 proxies at most"));
        }
        let (listens, relays) = sockets(ip, proxies)?;
        let n = usize::from(proxies);
        let addresses = relays
            .iter()
            .map(std::net::UdpSocket::local_addr)
            .collect::<io::Result<Vec<_>>>()?;
        // What a proxy sends to its address for another comes in there; the one for itself is its
        // own.
        let peers = (0..n).map(|from| {
            (0..n)
                .map(|to| {
                    if from == to {
                        listens[to]
                    } else {
                        addresses[from * n + to]
                    }
                })
                .collect()
        });
        let peers = peers.collect();
        let ways = vec![Link::default(); n * n];
        let ways = Arc::new(Mutex::new(Links {
            all: ways,
            proxies,
            record: Vec::new(),
            unrecorded: 0,
        }));
        let (stop, stopped) = watch::channel(());
        let (shared, to) = (ways.clone(), listens.clone());
        let thread = std::thread::Builder::new().name("network".into());
        let thread = thread.spawn(move || relay(relays, &to, &shared, seed, clock, stopped))?;
        Ok(Network {
            seed,
            ways,
            listen_address: listens,
            peers,
            _stop: stop,
            thread: Some(thread),
        })
    }

    fn ways(&self) -> MutexGuard<'_, Links> {
        self.ways
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Where a proxy is to listen.
    pub fn listen_address(&self, proxy: u16) -> SocketAddr {
        self.listen_address[usize::from(proxy)]
    }

    /// The addresses of all, as a proxy is told them.
    pub fn peers(&self, proxy: u16) -> &[SocketAddr] {
        &self.peers[usize::from(proxy)]
    }

    /// Changes what the way from one to another does.
    pub fn configure_link(&self, from: u16, to: u16, change: impl FnOnce(&mut Link)) {
        let mut ways = self.ways();
        let place = ways.place(from, to);
        if let Some(way) = ways.all.get_mut(place) {
            change(way);
        }
    }

    /// Changes what all ways do.
    pub fn configure_all(&self, change: impl FnMut(&mut Link)) {
        self.ways().all.iter_mut().for_each(change);
    }

    /// Changes the ways from and to one.
    pub fn configure_links_of(&self, proxy: u16, mut change: impl FnMut(&mut Link)) {
        for other in (0..self.listen_address.len() as u16).filter(|o| *o != proxy) {
            self.configure_link(proxy, other, &mut change);
            self.configure_link(other, proxy, &mut change);
        }
    }

    /// Nothing comes from one group to another any more. Who is in none is a group with the others
    /// that are in none.
    pub fn partition(&self, groups: &[&[u16]]) {
        let group = |p: u16| groups.iter().position(|g| g.contains(&p));
        let n = self.listen_address.len() as u16;
        for (from, to) in (0..n).flat_map(|f| (0..n).map(move |t| (f, t))) {
            if group(from) != group(to) {
                self.configure_link(from, to, |w| w.blocked = true);
            }
        }
    }

    /// Every way is whole again, and does nothing to messages.
    pub fn heal(&self) {
        self.configure_all(|w| *w = Link::default());
    }

    /// What was done to each message so far, and how many more there were than are kept.
    pub fn messages(&self) -> (Vec<Message>, u64) {
        let ways = self.ways();
        (ways.record.clone(), ways.unrecorded)
    }
}

/// When a way's last byte is through, where its rate is bounded.
struct LinkState {
    free: Instant,
    under_way: Rc<RefCell<usize>>,
}

fn relay(
    relays: Vec<std::net::UdpSocket>,
    listens: &[SocketAddr],
    ways: &Arc<Mutex<Links>>,
    seed: u64,
    clock: Clock,
    mut stopped: watch::Receiver<()>,
) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    else {
        return;
    };
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, async {
        let sockets: io::Result<Vec<Rc<UdpSocket>>> = relays
            .into_iter()
            .map(|s| UdpSocket::from_std(s).map(Rc::new))
            .collect();
        let Ok(sockets) = sockets else { return };
        let n = listens.len();
        for (place, socket) in sockets.iter().enumerate() {
            let (from, to) = (place / n, place % n);
            if from != to {
                // What comes in here goes on from the address that the receiver knows the sender
                // by.
                let out = sockets[to * n + from].clone();
                let pair = Pair {
                    from: from as u16,
                    to: to as u16,
                    seed: seed ^ (place as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
                    listens: listens[to],
                    ways: ways.clone(),
                    clock,
                };
                spawn_local(pair.carry(socket.clone(), out));
            }
        }
        // Its sender is dropped, or says so.
        let _ = stopped.changed().await;
    });
}

struct Pair {
    from: u16,
    to: u16,
    seed: u64,
    listens: SocketAddr,
    ways: Arc<Mutex<Links>>,
    clock: Clock,
}

impl Pair {
    async fn carry(self, socket: Rc<UdpSocket>, out: Rc<UdpSocket>) {
        let mut rng = Rng::with_seed(self.seed);
        let (begun, mut bytes) = (Instant::now(), [0; 2048]);
        let mut link = LinkState {
            free: begun,
            under_way: Rc::default(),
        };
        loop {
            // A port that nobody listens on any more shows here as an error; the relay goes on.
            let Ok((length, _)) = socket.recv_from(&mut bytes).await else {
                sleep(Duration::from_millis(1)).await;
                continue;
            };
            let way = {
                let ways = self
                    .ways
                    .lock()
                    .unwrap_or_else(std::sync::PoisonError::into_inner);
                ways.all[ways.place(self.from, self.to)]
            };
            let (fate, at) = fate(&way, &mut rng, &mut link, begun, length);
            let now = Instant::now();
            let later = at.saturating_duration_since(now);
            let message = Message {
                at: self.clock.now(),
                from: self.from,
                to: self.to,
                length: length as u16,
                delivery: fate,
                delay: later.as_micros() as Micros,
            };
            {
                let mut ways = self
                    .ways
                    .lock()
                    .unwrap_or_else(std::sync::PoisonError::into_inner);
                if ways.record.len() < MAX_RECORD {
                    ways.record.push(message);
                } else {
                    ways.unrecorded += 1;
                }
            }
            let copies = match fate {
                Delivery::Delivered | Delivery::Truncated => 1,
                Delivery::Duplicated => 2,
                _ => continue,
            };
            let half = if fate == Delivery::Truncated {
                length / 2
            } else {
                length
            };
            for _ in 0..copies {
                let (text, out, to) = (bytes[..half].to_vec(), out.clone(), self.listens);
                if later.is_zero() {
                    // Nobody may listen there just now; then it is lost.
                    let _ = out.send_to(&text, to).await;
                    continue;
                }
                let under_way = link.under_way.clone();
                *under_way.borrow_mut() += 1;
                spawn_local(async move {
                    sleep_until(at).await;
                    let _ = out.send_to(&text, to).await;
                    *under_way.borrow_mut() -= 1;
                });
            }
        }
    }
}

/// What is done to a message, and when it goes on. Each message draws as many numbers, so that what
/// is done to one does not hang on what the way did before.
fn fate(
    way: &Link,
    rng: &mut Rng,
    link: &mut LinkState,
    begun: Instant,
    length: usize,
) -> (Delivery, Instant) {
    let (now, [loss, twice, torn, jitter]) = (Instant::now(), [(); 4].map(|()| rng.f64()));
    let down = |every: Duration| (begun.elapsed().as_nanos() / every.as_nanos().max(1)) % 2 == 1;
    if length > MAX_DATAGRAM {
        return (Delivery::TooLong, now);
    }
    if way.blocked || way.flap_period.is_some_and(down) {
        return (Delivery::Blocked, now);
    }
    if loss < way.loss {
        return (Delivery::Lost, now);
    }
    if *link.under_way.borrow() >= UNDER_WAY {
        return (Delivery::QueueFull, now);
    }
    let mut at = now + way.delay + way.jitter.mul_f64(jitter);
    if let Some(rate) = way.rate {
        link.free = link.free.max(now) + Duration::from_secs_f64(length as f64 / rate.max(1.0));
        at = at.max(link.free + way.delay);
    }
    let fate = if torn < way.truncation {
        Delivery::Truncated
    } else if twice < way.duplication {
        Delivery::Duplicated
    } else {
        Delivery::Delivered
    };
    (fate, at)
}
