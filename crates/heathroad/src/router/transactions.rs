//! Carries out the actions of the transaction manager.

use super::RouterError;
use super::routed_pools::RoutedPools;
use crate::backend::Pool as Connections;
use crate::backend::jsonrpc::Transport;
use crate::configuration::verification_gate;
use crate::engine::Engine;
use crate::router::running_pool::{RunningPool, jsonrpc_transport};
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
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The number of messages about changes that are kept for operators.
const MAX_MESSAGES: usize = 50;

impl RoutedPools {
    fn elapsed_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Handles an event, carries out the resulting actions, and returns the reports among them.
    pub fn handle(self: &Rc<Self>, event: Event) -> Vec<TransactionReport> {
        let mut initial_actions = Vec::new();
        let now = self.elapsed_ms();
        self.transactions
            .borrow_mut()
            .handle(now, event, &mut initial_actions);
        let mut actions = VecDeque::from(initial_actions);
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
                // A pool stops by itself with its last request.
                Action::Retire(_) => {}
                Action::Report(report) => {
                    self.publish(&report);
                    reports.push(report);
                }
            }
        }
        self.sync_active_pools();
        self.release_unused();
        reports
    }

    fn persist(&self, record: Record) -> Result<(), RouterError> {
        match &mut *self.journal.borrow_mut() {
            Some(journal) => journal.write(record).map_err(RouterError::WriteState),
            None => Ok(()),
        }
    }

    /// Returns the actions that replace the remaining ones after a record could not be persisted.
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

    /// Puts the transaction manager's current generation in force, if it is not.
    fn sync_active_pools(self: &Rc<Self>) {
        let current = self.transactions.borrow().current().clone();
        if !Rc::ptr_eq(&self.current_generation(), &current) {
            self.activate_or_report(&current);
        }
    }

    /// Passes a report to the activity log, and adds it to the messages about changes.
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

    /// Starts the new pools of a generation. Each is reported as ready once it is connected to a
    /// backend.
    fn stage(self: &Rc<Self>, generation: &Generation, pool_names: &[String]) {
        let definitions = pool_names.iter().filter_map(|name| generation.pool(name));
        for definition in definitions {
            match self.ensure_running(definition) {
                Ok(pool) => self.spawn_connecting(pool, generation.number),
                // Without a report that the pool is ready, the change is aborted at the staging
                // timeout.
                Err(error) => self.add_message(error.to_string()),
            }
        }
    }

    /// Connects to the backends of a staged pool, and reports it as ready.
    fn spawn_connecting(self: &Rc<Self>, pool: Rc<RunningPool>, number: u64) {
        let pools = Rc::downgrade(self);
        let staging_timeout = Duration::from_millis(self.config.transactions.staging_timeout);
        let connections = self.config.connections.clone();
        spawn_local(async move {
            let name = pool.definition.name.clone();
            let transport = pool.definition.jsonrpc.as_ref().map(jsonrpc_transport);
            let connecting = connect_any(&connections, &pool.engine, transport);
            let connected = timeout(staging_timeout, connecting).await;
            drop(pool);
            if let (Ok(()), Some(pools)) = (connected, pools.upgrade()) {
                pools.handle(Event::PoolReady { number, pool: name });
            }
        });
    }

    /// Samples all pools in force, and lets the transaction manager check its deadlines.
    pub(super) fn sample(self: &Rc<Self>) {
        let pools = self.active.borrow().pools.clone();
        for pool in pools {
            if let Some(sample) = take_sample(&pool) {
                let name = pool.definition.name.clone();
                self.handle(Event::PoolSampled { pool: name, sample });
            }
        }
        self.handle(Event::Tick);
        self.share_slow_start_budgets();
    }

    /// Verifies a staged change whose pools are ready. If endpoints change meanwhile, it is
    /// verified again, so that the verdict holds when the change is applied.
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
                        report.map_or_else(|e| Some(e.to_string()), |r| join_failures(&r))
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

    /// Verifies the generation in force against the current expectations. Returns `None` if there
    /// are none.
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

    /// Returns what verification needs to know of this daemon.
    pub(super) fn environment(&self) -> Environment {
        let registry = self.default_registry.get();
        verification_gate::environment(&self.config.settings, registry, self.known_nodes())
    }

    /// Returns the generation in force, the open transaction and the latest messages, as JSON.
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

/// Returns the outcomes of a pool's requests since the last sample, or `None` if there were none.
fn take_sample(pool: &RunningPool) -> Option<PoolSample> {
    let mut totals = pool.engine.metrics().response_totals();
    // Rejections because this proxy is fenced are not an effect of the change.
    totals.rejected = totals
        .rejected
        .saturating_sub(pool.engine.fenced_rejections());
    let previous = pool.sampled_totals.replace(totals);
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
        // A proxy doesn't know how much of a backend's slow-start budget other proxies have used.
        warmup_budget_used: 0.0,
    })
}

/// Joins the failures of a verification. Returns `None` if there are none.
fn join_failures(report: &Report) -> Option<String> {
    Some(report.failures().join("; ")).filter(|failures| !failures.is_empty())
}

/// Waits until an engine has backends, and there is a connection to at least one of them.
async fn connect_any(
    connections: &Rc<Connections>,
    engine: &Rc<Engine>,
    transport: Option<Transport>,
) {
    loop {
        let mut connected = 0;
        for target in &engine.available_targets() {
            let is_connected = connections.ensure_connection(target, transport).await;
            connected += usize::from(is_connected);
        }
        if connected > 0 {
            return;
        }
        sleep(CONNECT_RETRY_INTERVAL).await;
    }
}
