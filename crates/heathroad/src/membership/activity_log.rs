//! What this proxy acts on, and the record of what it did on which.

use heathroad_membership::activity_record::{
    Activity, ActivityRecord, Page, RecordSnapshot, Spell, Trouble, TurnedDown, Unix,
};
use heathroad_membership::desired_version::Required;
use heathroad_membership::version::{Digest, Source, Version};
use heathroad_membership::wire::SPOKEN;
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use tokio::time::Instant;

/// The page that a request was bound under, to its end.
#[derive(Clone)]
pub struct RequestActivity {
    acts: Rc<ActivityLog>,
    page: Rc<Page>,
}

impl RequestActivity {
    /// Something was done for the request.
    pub fn record(&self, act: Activity) {
        self.page.act(act, self.acts.now());
    }

    /// Whether an attempt may be sent for the request: not on routes past the time by which others
    /// are required.
    pub fn permits_attempt(&self) -> bool {
        self.acts.may_on(self.page.generation(), self.page.routes())
    }

    /// What backends are told of the version, where they are.
    pub fn version_header(&self) -> Option<HeaderValue> {
        let digest = self
            .acts
            .tells_backends
            .then(|| self.page.digest().to_string())?;
        HeaderValue::try_from(digest).ok()
    }
}

/// Routes that were committed here, for the fleet to hear of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Committed {
    /// Their number.
    pub number: u64,
    /// The digest of their text.
    pub digest: Digest,
    /// Within how many milliseconds they are required of all.
    pub within: Option<u64>,
}

/// What this proxy acts on.
pub struct ActivityLog {
    version: RefCell<Version>,
    record: RefCell<ActivityRecord>,
    page: RefCell<Rc<Page>>,
    changed: Notify,
    tells_backends: bool,
    base: Unix,
    started: Instant,
    /// The number, digest and text of the routes in force.
    routes: RefCell<(u64, Digest, Rc<str>)>,
    committed: Cell<Option<Committed>>,
    /// The highest number of a generation that is known in the fleet.
    highest: Cell<u64>,
    /// From when on nobody is to act on lower generations.
    required: RefCell<Vec<(Required, Instant)>>,
    /// Where a proxy that can't know what is required fences itself: until when it does know.
    sure: Cell<Option<Instant>>,
    /// For how long it knows, after a fellow has answered it.
    sure_for: Option<Duration>,
    fenced: Cell<bool>,
}

impl ActivityLog {
    /// Begins with a version without routes and lists, and with what was kept of the record from
    /// before.
    pub fn new(
        settings: Digest,
        before: Option<RecordSnapshot>,
        tells_backends: bool,
        sure_for: Option<Duration>,
    ) -> Rc<ActivityLog> {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let base = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
        let build = env!("CARGO_PKG_VERSION").to_string();
        let version = Version {
            build,
            protocols: SPOKEN,
            settings,
            ..Version::default()
        };
        let mut record = ActivityRecord::new(base, base, before);
        let page = RefCell::new(record.begin_interval(base, version.clone()));
        Rc::new(ActivityLog {
            version: RefCell::new(version),
            record: RefCell::new(record),
            page,
            changed: Notify::new(),
            tells_backends,
            base,
            started: Instant::now(),
            routes: RefCell::new((0, Digest::default(), "".into())),
            committed: Cell::default(),
            highest: Cell::default(),
            required: RefCell::default(),
            sure: Cell::default(),
            sure_for,
            fenced: Cell::default(),
        })
    }

    /// Unix time in milliseconds at the start, and so this process's life.
    pub fn incarnation(&self) -> Unix {
        self.base
    }

    /// Unix time in milliseconds, by a clock that only goes forward.
    pub fn now(&self) -> Unix {
        self.base + u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// What is in force.
    pub fn version(&self) -> Version {
        self.version.borrow().clone()
    }

    /// Waits until that changes.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Binds a request to what is in force.
    pub fn begin_request(self: &Rc<Self>) -> RequestActivity {
        RequestActivity {
            acts: self.clone(),
            page: self.page.borrow().clone(),
        }
    }

    /// A generation of routes is in force.
    pub fn set_routes(&self, number: u64, text: &str) {
        let digest = Digest::of(text.as_bytes());
        self.routes.replace((number, digest, text.into()));
        self.change(|v| (v.generation, v.routes) = (number, digest));
    }

    /// Routes in force were committed.
    pub fn announce_commit(&self, number: u64, text: &str, within: Option<u64>) {
        self.committed.set(Some(Committed {
            number,
            digest: Digest::of(text.as_bytes()),
            within,
        }));
        self.changed.notify_waiters();
    }

    /// What was committed since the last look.
    pub fn committed(&self) -> Option<Committed> {
        self.committed.take()
    }

    /// The highest number of a generation that is known in the fleet.
    pub fn highest_known_generation(&self) -> u64 {
        self.highest.get()
    }

    /// So high a number is known.
    pub fn known(&self, highest: u64) {
        self.highest.set(highest);
    }

    /// From these times on nobody is to act on lower generations.
    pub fn require(&self, required: Vec<(Required, Instant)>) {
        self.required.replace(required);
    }

    /// The soonest that anything can be required, in milliseconds: where proxies that can't know
    /// what is required fence themselves, they do so after as long.
    pub fn min_required_within_ms(&self) -> u64 {
        self.sure_for
            .map_or(0, |t| u64::try_from(t.as_millis()).unwrap_or(u64::MAX))
    }

    /// All that was required until now is known, and will be until a time.
    pub fn sure_until(&self, until: Option<Instant>) {
        self.sure.set(until);
    }

    /// Whether anything may be done on a generation of routes. The clock is looked at each time: a
    /// proxy that has stalled finds out before its next act.
    pub fn may_on(&self, generation: u64, routes: Digest) -> bool {
        let required = self.required.borrow();
        if required.is_empty() && self.sure_for.is_none() {
            return true;
        }
        let now = Instant::now();
        let unmet = |(r, at): &(Required, Instant)| {
            generation < r.number && routes != r.digest && now >= *at
        };
        let unsure = self.sure_for.is_some() && self.sure.get().is_none_or(|until| now >= until);
        !required.iter().any(unmet) && !unsure
    }

    /// Whether this proxy is fenced: it binds no request. The record tells from when to when.
    pub fn is_fenced(&self) -> bool {
        let (number, digest) = {
            let routes = self.routes.borrow();
            (routes.0, routes.1)
        };
        let fenced = !self.may_on(number, digest);
        if self.fenced.replace(fenced) != fenced {
            let (trouble, from) = (Trouble::Fenced, self.now());
            let mut record = self.record.borrow_mut();
            match fenced {
                true => record.spell(Spell {
                    trouble,
                    from,
                    to: None,
                }),
                false => record.spell_over(trouble, from),
            }
            let what = if fenced {
                "fenced: no request is bound"
            } else {
                "no longer fenced"
            };
            tracing::warn!(fenced, "fleet: {what}");
        }
        fenced
    }

    /// A generation was not taken, for a reason.
    pub fn record_rejection(&self, generation: u64, routes: Digest, why: String) {
        let at = self.now();
        self.record.borrow_mut().turn_down(TurnedDown {
            at,
            generation,
            routes,
            why,
        });
    }

    /// Whether a text was turned down before.
    pub fn was_rejected(&self, routes: Digest) -> bool {
        self.record.borrow().turned_down(routes).is_some()
    }

    /// The text of the routes with a digest, if they are in force.
    pub fn routes(&self, digest: Digest) -> Option<Rc<str>> {
        let routes = self.routes.borrow();
        (routes.1 == digest && digest != Digest::default()).then(|| routes.2.clone())
    }

    /// A change of routes has come into force, or was undone.
    pub fn record(&self, act: Activity) {
        self.page.borrow().act(act, self.now());
    }

    /// A source of backends has told a list or a change.
    pub fn endpoint_list_received(&self, source: SocketAddr, seq: u64) {
        let source = Digest::of(source.to_string().as_bytes());
        self.change(
            |v| match v.sources.iter_mut().find(|s| s.source == source) {
                Some(known) => known.seq = seq,
                None => {
                    v.sources.push(Source { source, seq });
                    v.sources.sort_by_key(|s| s.source);
                }
            },
        );
    }

    /// A source of backends is followed no longer.
    pub fn endpoint_source_removed(&self, source: SocketAddr) {
        let source = Digest::of(source.to_string().as_bytes());
        self.change(|v| v.sources.retain(|s| s.source != source));
    }

    fn change(&self, by: impl FnOnce(&mut Version)) {
        let mut version = self.version.borrow_mut();
        by(&mut version);
        let version = version.clone().bounded();
        let now = self.now();
        self.page
            .replace(self.record.borrow_mut().begin_interval(now, version));
        self.changed.notify_waiters();
    }

    /// This proxy is kept from its fellows from now on.
    pub fn cut_off(&self) {
        let (trouble, from) = (Trouble::CutOff, self.now());
        self.record.borrow_mut().spell(Spell {
            trouble,
            from,
            to: None,
        });
    }

    /// It hears somebody again.
    pub fn heard_again(&self) {
        self.record
            .borrow_mut()
            .spell_over(Trouble::CutOff, self.now());
    }

    /// It did nothing for so many milliseconds until now.
    pub fn stalled(&self, after: u64) {
        let now = self.now();
        let (trouble, from) = (Trouble::Stalled, now.saturating_sub(after));
        self.record.borrow_mut().spell(Spell {
            trouble,
            from,
            to: Some(now),
        });
    }

    /// The record as it stands.
    pub fn snapshot(&self) -> RecordSnapshot {
        self.record.borrow().snapshot(self.now())
    }

    /// The proxy stops: nothing is in force any more.
    pub fn close(&self) {
        let now = self.now();
        self.record.borrow_mut().close(now);
    }
}
