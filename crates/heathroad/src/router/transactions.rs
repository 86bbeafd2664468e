//! Carries out what the transaction manager decides.

use super::RouterError;
use super::routed_pools::RoutedPools;
use crate::backend::Pool as Connections;
use crate::backend::jsonrpc::Transport;
use crate::configuration::verification_gate;
use crate::engine::Engine;
use crate::router::pool_run::{PoolRun, jsonrpc_transport};
use crate::runtime_accounting::{sleep, spawn_local, timeout};
use heathroad_membership::activity_record::Activity;
use heathroad_routing::generation::Generation;
use heathroad_routing::journal::{OpenTransaction, Record};
use heathroad_routing::regression::PoolSample;
use heathroad_routing::transaction::{Action, Event, TransactionReport};
use heathroad_verifier::{Environment, Report};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

/// The interval between attempts to connect to the backends of a staged pool.
const WARMUP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The number of messages about changes that are kept for operators.
const MAX_MESSAGES: usize = 50;

impl RoutedPools {
    fn elapsed_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Handles an event, carries out the actions that it leads to, and returns the reports.
    pub fn handle(self: &Rc<Self>, event: Event) -> Vec<TransactionReport> {
        let mut decided = Vec::new();
        let now = self.elapsed_ms();
        self.transactions
            .borrow_mut()
            .handle(now, event, &mut decided);
        let mut actions = VecDeque::from(decided);
        let mut reports = Vec::new();
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Persist(record) => {
                    if let Err(error) = self.persist(record.clone()) {
                        actions = self.actions_after_failure(&record, &error);
                    }
                }
                Action::Stage { generation, pools } => match self.open_listeners(&generation) {
                    Ok(()) => self.stage(&generation, &pools),
                    Err(error) => {
                        let record = Record::Opened {
                            number: generation.number,
                            text: String::new(),
                        };
                        actions = self.actions_after_failure(&record, &error);
                    }
                },
                Action::Verify(generation) => self.spawn_verification(&generation),
                Action::Apply(generation) => self.activate_or_report(&generation),
                // A run ends by itself with its last request.
                Action::Retire(_) => {}
                Action::Report(report) => {
                    self.publish(&report);
                    reports.push(report);
                }
            }
        }
        self.align_active_pools();
        self.release_unused();
        reports
    }

    fn persist(&self, record: Record) -> Result<(), RouterError> {
        match &mut *self.journal.borrow_mut() {
            Some(journal) => journal.write(record).map_err(RouterError::WriteState),
            None => Ok(()),
        }
    }

    /// Returns the actions that replace the remaining ones after a record was not persisted.
    fn actions_after_failure(&self, record: &Record, error: &RouterError) -> VecDeque<Action> {
        let mut actions = Vec::new();
        let mut transactions = self.transactions.borrow_mut();
        transactions.handle_persist_failure(record, &error.to_string(), &mut actions);
        VecDeque::from(actions)
    }

    fn activate_or_report(self: &Rc<Self>, generation: &Rc<Generation>) {
        if let Err(error) = self.activate(generation) {
            self.add_message(format!("generation {}: {error}", generation.number));
        }
    }

    /// Binds new requests to the manager's current generation, if they do not already.
    fn align_active_pools(self: &Rc<Self>) {
        let current = self.transactions.borrow().current().clone();
        if !Rc::ptr_eq(&self.current_generation(), &current) {
            self.activate_or_report(&current);
        }
    }

    /// Records a report in the activity log and in the messages for operators.
    fn publish(&self, report: &TransactionReport) {
        if let Some(activity_log) = &self.config.activity_log {
            match report {
                TransactionReport::Applied { .. } => activity_log.record(Activity::ChangeApplied),
                TransactionReport::Committed { number } => self.announce_commit(*number),
                TransactionReport::RolledBack { .. } => {
                    activity_log.record(Activity::ChangeRolledBack);
                }
                _ => {}
            }
        }
        self.add_message(report.to_string());
    }

    pub(super) fn add_message(&self, message: String) {
        tracing::info!("routes: {message}");
        let mut messages = self.messages.borrow_mut();
        if messages.len() == MAX_MESSAGES {
            messages.pop_front();
        }
        messages.push_back(message);
    }

    /// Announces a committed generation to the cluster.
    fn announce_commit(&self, number: u64) {
        let current = self.transactions.borrow().current().clone();
        let required = self.required_change.take();
        let required = required.filter(|change| change.digest == current.digest);
        let activity_log = self.config.activity_log.as_ref();
        if let Some(activity_log) = activity_log.filter(|_| current.number == number) {
            activity_log.announce_commit(
                number,
                &current.text,
                required.map(|change| change.within_ms),
            );
        }
    }

    /// Starts the new pools of a generation, and reports each as ready once it has backends and a
    /// warm connection.
    fn stage(self: &Rc<Self>, generation: &Generation, pool_names: &[String]) {
        for pool in pool_names.iter().filter_map(|name| generation.pool(name)) {
            match self.ensure_run(pool) {
                Ok(run) => self.spawn_warmup(run, generation.number),
                // The pool is never ready, so that the change is aborted in time with its name.
                Err(error) => self.add_message(error.to_string()),
            }
        }
    }

    fn spawn_warmup(self: &Rc<Self>, run: Rc<PoolRun>, number: u64) {
        let pools = Rc::downgrade(self);
        let limit = Duration::from_millis(self.config.transactions.staging_timeout);
        let connections = self.config.connections.clone();
        spawn_local(async move {
            let pool = run.pool.name.clone();
            let transport = run.pool.jsonrpc.as_ref().map(jsonrpc_transport);
            let warm = timeout(limit, warm_up(&connections, &run.engine, transport)).await;
            drop(run);
            if let (Ok(()), Some(pools)) = (warm, pools.upgrade()) {
                pools.handle(Event::PoolReady { number, pool });
            }
        });
    }

    /// Samples all pools in force, and lets the manager check its deadlines.
    pub(super) fn sample(self: &Rc<Self>) {
        let runs = self.active.borrow().runs.clone();
        for run in runs {
            if let Some(sample) = take_sample(&run) {
                let pool = run.pool.name.clone();
                self.handle(Event::PoolSampled { pool, sample });
            }
        }
        self.handle(Event::Tick);
        self.share_warmup_budgets();
    }

    /// Verifies a staged change that is ready, as things stand when it is applied. If endpoints
    /// change meanwhile, it is verified again; if they change all the time, it is aborted in time.
    fn spawn_verification(self: &Rc<Self>, generation: &Generation) {
        let (pools, number) = (Rc::downgrade(self), generation.number);
        let text = generation.text.clone();
        spawn_local(async move {
            loop {
                let Some(strong) = pools.upgrade() else {
                    return;
                };
                let verified_updates = strong.endpoint_updates.get();
                let expectations = strong.expectations.borrow().clone();
                let environment = strong.environment();
                drop(strong);
                let rejection = match expectations {
                    Some(expectations) => {
                        let report = expectations.verify(text.clone(), environment).await;
                        report.map_or_else(|e| Some(e.to_string()), |r| describe_failures(&r))
                    }
                    None => None,
                };
                let Some(strong) = pools.upgrade() else {
                    return;
                };
                let staged = OpenTransaction {
                    number,
                    applied: false,
                };
                if strong.transactions.borrow().open_transaction() != Some(staged) {
                    return;
                }
                if strong.endpoint_updates.get() == verified_updates {
                    strong.handle(Event::Verified { number, rejection });
                    return;
                }
            }
        });
    }

    /// Verifies the generation in force against the expectations as they are now. Returns `None`
    /// if there are none.
    ///
    /// # Errors
    ///
    /// Fails if the expectations can't be read or verified.
    pub async fn verify_current(&self) -> Result<Option<Report>, RouterError> {
        let Some(gate) = &self.config.gate else {
            return Ok(None);
        };
        let text = self.current_generation().text.clone();
        let report = gate.load()?.verify(text, self.environment()).await?;
        Ok(Some(report))
    }

    /// Returns what verification has to know of this daemon.
    pub(super) fn environment(&self) -> Environment {
        let registry = self.default_registry.get();
        verification_gate::environment(&self.config.settings, registry, self.known_nodes())
    }

    /// Returns the generation in force, the transaction under way and the latest messages.
    pub fn status(&self) -> Value {
        let mut transactions = self.transactions.borrow_mut();
        let generations_in_use = transactions.count_generations_in_use();
        let open = transactions.open_transaction().map(|transaction| {
            let phase = match transaction.applied {
                true => "probation",
                false => "staging",
            };
            json!({"number": transaction.number, "phase": phase})
        });
        let current = self.current_generation();
        let gate = self.config.gate.as_ref();
        json!({
            "generation": current.number,
            "digest": current.digest,
            "open": open,
            "expectations": gate.map(|gate| gate.file().display().to_string()),
            "older_generations_in_use": generations_in_use,
            "told": *self.messages.borrow(),
        })
    }
}

/// Returns the outcomes of a pool's requests since the last sample, if there were any.
fn take_sample(run: &PoolRun) -> Option<PoolSample> {
    let mut totals = run.engine.metrics().response_totals();
    // Requests that were rejected while this proxy was fenced say nothing of a change.
    totals.rejected = totals
        .rejected
        .saturating_sub(run.engine.fenced_rejections());
    let previous = run.sampled_totals.replace(totals);
    let new = totals.since(previous);
    let (served, rejected) = (new.served as f64, new.rejected as f64);
    let failed = new.failed as f64 + new.timed_out as f64;
    let late = new.served_late as f64;
    let requests = served + rejected + failed;
    (requests > 0.0).then_some(PoolSample {
        requests,
        failed,
        rejected,
        late,
        // No proxy can see how much of its warm-up budget a backend has used.
        warmup_budget_used: 0.0,
    })
}

/// Joins the failures of a verification, or returns `None` if there are none.
fn describe_failures(report: &Report) -> Option<String> {
    Some(report.failures().join("; ")).filter(|failures| !failures.is_empty())
}

/// Waits until an engine has backends, and a connection to at least one of them.
async fn warm_up(connections: &Rc<Connections>, engine: &Rc<Engine>, transport: Option<Transport>) {
    loop {
        let mut warm_connections = 0;
        for target in &engine.available_targets() {
            let is_warm = connections.ensure_connection(target, transport).await;
            warm_connections += usize::from(is_warm);
        }
        if warm_connections > 0 {
            return;
        }
        sleep(WARMUP_POLL_INTERVAL).await;
    }
}
