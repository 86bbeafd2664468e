//! `heathroad-adapter` hosts many balancer replicas on the simulator's wire: frames on standard
//! input, one reply to each on standard output. Bad input is one line on standard error and a
//! non-zero exit, with no reply written.

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

/// The bytes of the input's buffer.
const INPUT_BUFFER_BYTES: usize = 1 << 16;

/// Why the adapter ended early.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    #[error(transparent)]
    Wire(#[from] WireError),
    #[error("reply: {0}")]
    Output(#[source] io::Error),
}

/// Why a well-formed record can't be carried out.
#[derive(Debug, thiserror::Error)]
enum RecordError {
    #[error("instance {0} is unknown")]
    UnknownInstance(u16),
    #[error(transparent)]
    UnreadableSettings(#[from] SettingsReadError),
    #[error(transparent)]
    UnsoundSettings(#[from] SettingsError),
}

/// The replicas that run, by instance.
#[derive(Default)]
struct Host {
    replicas: HashMap<u16, Balancer>,
    /// The actions of one event; a buffer that is used again.
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
        decoder.decode(&frame, |record| {
            host.carry_out(frame.now, record, &mut reply)
        })?;
        output
            .write_all(&reply.into_bytes())
            .and_then(|()| output.flush())
            .map_err(AdapterError::Output)?;
    }
    Ok(())
}

impl Host {
    fn carry_out(
        &mut self,
        now: f64,
        record: Record,
        reply: &mut Reply,
    ) -> Result<(), RecordError> {
        match record {
            Record::EndpointPage => Ok(()),
            Record::Unused { instance } => self.replica(instance).map(drop),
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

    /// Hands an event to its replica. A panic there is reported in the reply and ends nothing else.
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
            Err(panic) => reply.push_fatal(instance, panic_text(&*panic)),
        }
        self.actions = actions;
        Ok(())
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic without a text")
}
