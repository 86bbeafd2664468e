//! `heathroad-adapter` runs balancer replicas for the simulator: it reads frames from standard
//! input and writes one reply per frame to standard output. On invalid input it prints one line to
//! standard error and exits with a failure, without a reply to the invalid frame.

mod wire;

use heathroad_balancer::api::{Action, Event, SettingsError};
use heathroad_balancer::settings::SettingsReadError;
use heathroad_balancer::{Balancer, settings};
use std::any::Any;
use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use wire::{Decoder, Record, Reply, WireError};

/// Size of the input buffer.
const INPUT_BUFFER_BYTES: usize = 1 << 16;

/// An error that ends the adapter.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("reply: {0}")]
    Output(#[source] io::Error),
}

/// An error in processing a well-formed record.
#[derive(Debug, thiserror::Error)]
enum RecordError {
    #[error("instance {0} is unknown")]
    UnknownInstance(u16),
    #[error(transparent)]
    UnreadableSettings(#[from] SettingsReadError),
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
}

/// The running replicas.
#[derive(Default)]
struct Host {
    /// The replicas by instance number.
    replicas: HashMap<u16, Balancer>,
    /// Reusable buffer for the actions of one event.
    actions: Vec<Action>,
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heathroad-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), AdapterError> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut decoder = Decoder::default();
    let mut host = Host::default();
    while let Some(frame) = wire::read_frame(&mut input)? {
        let mut reply = Reply::default();
        decoder.decode(&frame, |record| host.process(frame.now, record, &mut reply))?;
        output
            .write_all(&reply.into_bytes())
            .and_then(|()| output.flush())
            .map_err(AdapterError::Output)?;
    }
    Ok(())
}

impl Host {
    fn process(&mut self, now: f64, record: Record, reply: &mut Reply) -> Result<(), RecordError> {
        match record {
            Record::EndpointPage => Ok(()),
            Record::Ignored { instance } => self.replica(instance).map(drop),
            Record::Launch {
                instance,
                seed,
                settings,
            } => self.launch(instance, seed, &settings),
            Record::Shutdown { instance } => {
                let replica = self.replicas.remove(&instance);
                replica
                    .map(drop)
                    .ok_or(RecordError::UnknownInstance(instance))
            }
            Record::Event { instance, event } => self.handle_event(now, instance, event, reply),
        }
    }

    fn replica(&mut self, instance: u16) -> Result<&mut Balancer, RecordError> {
        let replica = self.replicas.get_mut(&instance);
        replica.ok_or(RecordError::UnknownInstance(instance))
    }

    fn launch(&mut self, instance: u16, seed: u64, settings: &[u8]) -> Result<(), RecordError> {
        let settings = settings::parse(settings)?.balancer;
        let replica = Balancer::new(settings, seed)?;
        self.replicas.insert(instance, replica);
        Ok(())
    }

    /// Delivers an event to its replica. A panic of the replica is reported in the reply; the other
    /// replicas continue.
    fn handle_event(
        &mut self,
        now: f64,
        instance: u16,
        event: Event,
        reply: &mut Reply,
    ) -> Result<(), RecordError> {
        let mut actions = std::mem::take(&mut self.actions);
        actions.clear();
        let replica = self.replica(instance)?;
        let run = AssertUnwindSafe(|| replica.handle_event(now, event, &mut actions));
        match catch_unwind(run) {
            Ok(()) => actions.iter().for_each(|a| reply.push(instance, a)),
            Err(panic) => reply.push_fatal(instance, panic_message(&*panic)),
        }
        self.actions = actions;
        Ok(())
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let message = panic.downcast_ref::<String>().map(String::as_str);
    message
        .or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic without a message")
}
