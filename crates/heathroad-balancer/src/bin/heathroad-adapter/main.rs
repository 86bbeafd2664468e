//! Hosts many balancer copies on the simulator's wire: batches on standard input, one reply to each
//! on standard output. Bad input is one line on standard error and a non-zero exit, with no reply
//! written.

mod wire;

use heathroad_balancer::api::Action;
use heathroad_balancer::{Balancer, settings};
use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("heathroad-adapter: {e}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut decoder = wire::Decoder::default();
    let mut instances: HashMap<u16, Balancer> = HashMap::new();
    let mut actions: Vec<Action> = Vec::new();
    while let Some(frame) = wire::read_frame(&mut input)? {
        let mut reply = wire::Reply::default();
        decoder.decode(&frame, |record| {
            match record {
                wire::Record::Census => {}
                wire::Record::Unused { instance } if instances.contains_key(&instance) => {}
                wire::Record::Unused { instance } => {
                    return Err(format!("instance {instance} is unknown"));
                }
                wire::Record::Launch {
                    instance,
                    seed,
                    facts,
                } => {
                    let settings = settings::parse(&facts)?.settings;
                    instances.insert(
                        instance,
                        Balancer::new(settings, seed).map_err(|e| e.to_string())?,
                    );
                }
                wire::Record::Shutdown { instance } => {
                    instances
                        .remove(&instance)
                        .ok_or_else(|| format!("instance {instance} is unknown"))?;
                }
                wire::Record::Event { instance, event } => {
                    let Some(balancer) = instances.get_mut(&instance) else {
                        return Err(format!("instance {instance} is unknown"));
                    };
                    actions.clear();
                    let run = AssertUnwindSafe(|| balancer.handle(frame.now, event, &mut actions));
                    if let Err(panic) = catch_unwind(run) {
                        reply.fatal(instance, panic_text(&*panic));
                    } else {
                        actions.iter().for_each(|a| reply.push(instance, a));
                    }
                }
            }
            Ok(())
        })?;
        output
            .write_all(&reply.finish())
            .and_then(|()| output.flush())
            .map_err(|e| format!("reply: {e}"))?;
    }
    Ok(())
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic without a text")
}
