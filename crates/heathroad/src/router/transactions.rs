//! Changing the configuration: carries out what `heathroad_routing::transaction` decides.

use super::routed_pools::{Many, way};
use crate::backend::Pool as Connections;
use crate::backend::jsonrpc::Transport;
use crate::configuration::verification_gate::{self, Gate};
use crate::engine::Engine;
use crate::runtime_accounting::{sleep, spawn_local, timeout};
use heathroad_membership::activity_record::Activity;
use heathroad_routing::generation::Generation;
use heathroad_routing::harm::Sample;
use heathroad_routing::journal::Record;
use heathroad_routing::transaction::{Event, Said, Step};
use heathroad_verifier::{Here, Report};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

/// How often a staged pool is looked at.
const LOOK: Duration = Duration::from_millis(50);
/// What was told of changes, kept to be asked for.
const TOLD: usize = 50;

impl Many {
    pub(super) fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub(super) fn write(&self, record: Record) -> Result<(), String> {
        match &mut *self.journal.borrow_mut() {
            Some(journal) => journal.write(record).map_err(|e| format!("state: {e}")),
            None => Ok(()),
        }
    }

    /// Takes an event, carries out what is decided, and gives what is to be told.
    pub fn handle(self: &Rc<Self>, event: Event) -> Vec<Said> {
        let mut steps = Vec::new();
        self.changer
            .borrow_mut()
            .handle(self.now(), event, &mut steps);
        let (mut steps, mut said) = (VecDeque::from(steps), Vec::new());
        while let Some(step) = steps.pop_front() {
            match step {
                Step::Write(record) => {
                    if let Err(e) = self.write(record.clone()) {
                        // What was to follow rests on this.
                        steps.clear();
                        let mut others = Vec::new();
                        self.changer.borrow_mut().failed(&record, &e, &mut others);
                        steps.extend(others);
                    }
                }
                Step::Stage(generation, pools) => match self.open_doors(&generation) {
                    Ok(()) => self.stage(&generation, &pools),
                    Err(e) => {
                        steps.clear();
                        let mut others = Vec::new();
                        let record = Record::Opened {
                            number: generation.number,
                            text: String::new(),
                        };
                        self.changer.borrow_mut().failed(&record, &e, &mut others);
                        steps.extend(others);
                    }
                },
                Step::Judge(generation) => self.judge(&generation),
                Step::Apply(generation) => {
                    if let Err(e) = self.activate(&generation) {
                        self.tell(format!("generation {}: {e}", generation.number));
                    }
                }
                Step::Retire(_) => {}
                Step::Say(told) => {
                    if let Some(acts) = &self.base.acts {
                        match told {
                            Said::Applied(_) => acts.record(Activity::ChangeApplied),
                            Said::Committed(number) => self.committed(number),
                            Said::Undone { .. } => acts.record(Activity::ChangeRolledBack),
                            _ => {}
                        }
                    }
                    self.tell(words(&told));
                    said.push(told);
                }
            }
        }
        let current = self.changer.borrow().current().clone();
        if !Rc::ptr_eq(&self.current.borrow().generation, &current)
            && let Err(e) = self.activate(&current)
        {
            self.tell(format!("generation {}: {e}", current.number));
        }
        self.tidy();
        said
    }

    pub(super) fn tell(&self, line: String) {
        tracing::info!("routes: {line}");
        let mut told = self.told.borrow_mut();
        if told.len() == TOLD {
            told.pop_front();
        }
        told.push_back(line);
    }

    /// Begins the new pools, and tells when each has backends and warm connections.
    pub(super) fn stage(self: &Rc<Self>, generation: &Generation, pools: &[String]) {
        for pool in pools.iter().filter_map(|name| generation.pool(name)) {
            let run = match self.run(pool) {
                Ok(run) => run,
                // It is never ready, and the change is given up in time with its name.
                Err(e) => {
                    self.tell(e);
                    continue;
                }
            };
            let (many, limit) = (
                Rc::downgrade(self),
                Duration::from_millis(self.base.terms.stage),
            );
            let (connections, name) = (self.base.connections.clone(), pool.name.clone());
            let number = generation.number;
            spawn_local(async move {
                let way = run.pool.rpc.as_ref().map(way);
                let ready = timeout(limit, warm(&connections, &run.engine, way)).await;
                drop(run);
                if let (Ok(()), Some(many)) = (ready, many.upgrade()) {
                    many.handle(Event::Ready { number, pool: name });
                }
            });
        }
    }

    pub(super) fn tick(self: &Rc<Self>) {
        let runs = self.current.borrow().runs.clone();
        for run in runs {
            let mut now = run.engine.counts().so_far();
            // Those whom a fence refused say nothing of a change.
            now[1] = now[1].saturating_sub(run.engine.fenced_rejections());
            let before = run.seen.replace(now);
            let [served, refused, failed, timed_out, late] =
                [0, 1, 2, 3, 4].map(|i| now[i].saturating_sub(before[i]) as f64);
            let failed = failed + timed_out;
            let requests = served + refused + failed;
            if requests > 0.0 {
                // How near its budget a cold backend is no proxy can see; the module keeps well
                // below it.
                let sample = Sample {
                    requests,
                    failed,
                    refused,
                    late,
                    cold: 0.0,
                };
                self.handle(Event::Saw(run.pool.name.clone(), sample));
            }
        }
        self.handle(Event::Tick);
        self.share_cold();
    }

    /// The fleet is to hear of what was committed.
    fn committed(&self, number: u64) {
        let current = self.changer.borrow().current().clone();
        let within = self
            .within
            .take()
            .filter(|(text, _)| *text == current.digest)
            .map(|(_, within)| within);
        if let Some(acts) = self.base.acts.as_ref().filter(|_| current.number == number) {
            acts.announce_commit(number, &current.text, within);
        }
    }

    /// Proposes a text as a change; what is wrong with it, or what is said of it. Once committed,
    /// it may be required of the whole fleet within so many milliseconds.
    pub async fn propose(
        self: &Rc<Self>,
        file: &str,
        text: &str,
        within: Option<u64>,
    ) -> Result<Vec<Said>, String> {
        if let Some(within) = within {
            let none = "a change is required of a fleet, and this daemon's file names none";
            let acts = self.base.acts.as_ref().ok_or(none)?;
            let least = acts.min_required_within_ms();
            if acts.is_fenced() {
                let why = "this proxy is fenced, or sees no more than half of the fleet: it can require nothing of others";
                return Err(why.into());
            }
            if within < least {
                return Err(format!(
                    "required within {within} ms; expected {least} at least, after which proxies know of it or \
                    fence themselves"
                ));
            }
        }
        let said = self.take(file, text, 0).await?;
        let staged = said.iter().any(|s| matches!(s, Said::Staging(_)));
        if let Some(within) = within.filter(|_| staged) {
            let digest = Generation::read(0, file, text)
                .map(|g| g.digest.clone())
                .unwrap_or_default();
            self.within.replace(Some((digest, within)));
        }
        Ok(said)
    }

    /// Takes a text under the number that the fleet knows it by, or, at 0, under one of its own.
    pub async fn take(
        self: &Rc<Self>,
        file: &str,
        text: &str,
        number: u64,
    ) -> Result<Vec<Said>, String> {
        let generation = Generation::read(number, file, text).map_err(|e| e.to_string())?;
        crate::configuration::routes::rounds(&generation, self.base.listens)?;
        let expected = self.base.gate.as_ref().map(Gate::expected).transpose()?;
        if let Some(expected) = &expected {
            // Nodes that no registry has told yet, since no pool asks it, are waited for: the last
            // word is at the end.
            let broken = expected.judge(text.to_string(), self.here()).await?.known();
            if !broken.is_empty() {
                return Err(broken.join("\n"));
            }
        }
        let opened = self.open_doors(&generation);
        if opened.is_err() {
            self.tidy();
        }
        opened?;
        // The change under way keeps its own, if this one is turned down for it.
        let open = self.changer.borrow().open().is_some();
        if !open {
            self.expected.replace(expected);
        }
        if let Some(acts) = &self.base.acts {
            // One number is to mean one text in the whole fleet.
            let given = if number > 0 {
                number - 1
            } else {
                acts.highest_known_generation()
            };
            self.changer.borrow_mut().given(given);
        }
        Ok(self.handle(Event::Propose(generation)))
    }

    /// Judges a change that is ready, as things stand when it is applied: what was judged while
    /// nodes changed is judged again.
    pub(super) fn judge(self: &Rc<Self>, generation: &Generation) {
        let (many, number, text) = (
            Rc::downgrade(self),
            generation.number,
            generation.text.clone(),
        );
        spawn_local(async move {
            loop {
                let Some(strong) = many.upgrade() else { return };
                let (seen, expected) = (strong.news.get(), strong.expected.borrow().clone());
                let here = strong.here();
                drop(strong);
                let why = match expected {
                    Some(expected) => match expected.judge(text.clone(), here).await {
                        Ok(report) => Some(report.failures().join("; ")).filter(|f| !f.is_empty()),
                        Err(e) => Some(e),
                    },
                    None => None,
                };
                let Some(strong) = many.upgrade() else { return };
                if strong.changer.borrow().open() != Some((number, false)) {
                    return;
                }
                if strong.news.get() == seen {
                    strong.handle(Event::Judged { number, why });
                    return;
                }
                // Nodes have changed meanwhile; where they do all the time, the change is given up
                // when its time is over.
            }
        });
    }

    /// Holds the configuration in force against what is expected now.
    pub async fn expect(&self) -> Result<Option<Report>, String> {
        let Some(gate) = &self.base.gate else {
            return Ok(None);
        };
        let text = self.in_force().text.clone();
        gate.expected()?.judge(text, self.here()).await.map(Some)
    }

    /// What is known of this place, for expectations.
    pub(super) fn here(&self) -> Here {
        verification_gate::here(&self.base.facts, self.registry.get(), self.known_nodes())
    }

    /// What is in force, and what was told of changes lately.
    pub fn status(&self) -> Value {
        let mut changer = self.changer.borrow_mut();
        let alive = changer.alive();
        let open = changer.open().map(|(number, applied)| {
            json!({"number": number, "phase": if applied { "probation" } else { "staging" }})
        });
        let current = self.current.borrow();
        json!({"generation": current.generation.number, "digest": current.generation.digest, "open": open,
            "expectations": self.base.gate.as_ref().map(|g| g.file().display().to_string()),
            "older_generations_in_use": alive, "told": *self.told.borrow()})
    }
}

/// Waits until a pool has backends, and a connection to one at the least.
async fn warm(connections: &Rc<Connections>, engine: &Rc<Engine>, way: Option<Transport>) {
    loop {
        let targets = engine.available_targets();
        let mut warm = 0;
        for target in &targets {
            warm += usize::from(connections.ensure_connection(target, way).await);
        }
        if warm > 0 {
            return;
        }
        sleep(LOOK).await;
    }
}

/// In words, for people.
pub fn words(said: &Said) -> String {
    match said {
        Said::Same(n) => format!("nothing changes: the same as generation {n}, which is in force"),
        Said::Busy(n) => format!("turned down: generation {n} is under way, wait for it"),
        Said::Crowded(n) => {
            format!("turned down: requests are still bound to {n} older generations")
        }
        Said::Stopping => "turned down: the daemon stops".into(),
        Said::Staging(n) => format!("generation {n} is staged"),
        Said::Applied(n) => format!("generation {n} is in force, on probation"),
        Said::Committed(n) => format!("generation {n} is committed"),
        Said::GivenUp(n, why) => format!("generation {n} is given up: {why}"),
        Said::Undone { number, by, why } => format!("generation {number} is undone by {by}: {why}"),
        Said::NothingToUndo => "there is nothing to undo".into(),
    }
}
