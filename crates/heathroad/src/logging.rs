//! Events as lines on standard error, by `tracing`: text, or JSON with the events' fields. Bounded
//! a minute, so that nothing that goes wrong again and again fills a log. At the usual level none
//! is written a request; at `debug` each request, attempt and connection is told with its reasons.

use serde_json::{Map, Value, json};
use std::fmt::{self, Debug};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Most lines a minute; how many were left out is told with the next one.
const MOST: u32 = 600;
/// The same at level `debug` and below, where each request has lines of its own.
const MOST_DEBUG: u32 = 600_000;
const MINUTE: Duration = Duration::from_secs(60);

/// Why logging can't begin.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum LoggingError {
    /// The level is none that there is.
    #[error("RELAY_LOG_LEVEL: {value:?}: expected error, warn, info or debug")]
    Level {
        /// The level as it was given.
        value: String,
    },
    /// Something else in the process logs already.
    #[error("log: {0}")]
    AlreadySet(#[from] tracing::subscriber::SetGlobalDefaultError),
    /// The format is none that there is.
    #[error("RELAY_LOG: {value:?}: expected text or json")]
    Format {
        /// The format as it was given.
        value: String,
    },
}

/// Lines from now on, in the form that `RELAY_LOG` names: `text`, the usual one, or `json`; and
/// from the level on that `RELAY_LOG_LEVEL` names: `error`, `warn`, `info`, the usual one, or
/// `debug`.
pub fn begin() -> Result<(), LoggingError> {
    let level = match std::env::var("RELAY_LOG_LEVEL").as_deref() {
        Err(_) | Ok("info") => Level::INFO,
        Ok("error") => Level::ERROR,
        Ok("warn") => Level::WARN,
        Ok("debug") => Level::DEBUG,
        Ok(other) => {
            return Err(LoggingError::Level {
                value: other.to_string(),
            });
        }
    };
    let json = match std::env::var("RELAY_LOG").as_deref() {
        Err(_) | Ok("text") => false,
        Ok("json") => true,
        Ok(other) => {
            return Err(LoggingError::Format {
                value: other.to_string(),
            });
        }
    };
    let most = if level >= Level::DEBUG {
        MOST_DEBUG
    } else {
        MOST
    };
    let start = Instant::now();
    let minute = Minute {
        began: start,
        written: 0,
        left_out: 0,
        most,
    };
    let lines = Lines {
        json,
        start,
        minute: Mutex::new(minute),
    };
    let subscriber = tracing_subscriber::fmt()
        .with_ansi(false)
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .event_format(lines);
    tracing::subscriber::set_global_default(subscriber.finish())?;
    Ok(())
}

struct Minute {
    began: Instant,
    written: u32,
    left_out: u64,
    most: u32,
}

impl Minute {
    /// Whether one more line may go at a time, and how many were left out before it.
    fn pass(&mut self, now: Instant) -> Option<u64> {
        if now.saturating_duration_since(self.began) >= MINUTE {
            (self.began, self.written) = (now, 0);
        }
        if self.written >= self.most {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}

struct Lines {
    json: bool,
    /// Lines tell the time since then beside the wall clock's, which may step.
    start: Instant,
    minute: Mutex<Minute>,
}

/// An event's message and fields.
#[derive(Default)]
struct Said {
    message: String,
    fields: Map<String, Value>,
}

impl Visit for Said {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        match field.name() {
            "message" => self.message = format!("{value:?}"),
            name => drop(
                self.fields
                    .insert(name.to_string(), format!("{value:?}").into()),
            ),
        }
    }

    fn record_f64(&mut self, field: &Field, value: f64) {
        self.fields.insert(field.name().to_string(), value.into());
    }

    fn record_bool(&mut self, field: &Field, value: bool) {
        self.fields.insert(field.name().to_string(), value.into());
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.fields.insert(field.name().to_string(), value.into());
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.fields.insert(field.name().to_string(), value.into());
    }
}

impl<S, N> FormatEvent<S, N> for Lines
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let pass = self
            .minute
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pass(Instant::now());
        let Some(left_out) = pass else { return Ok(()) };
        let mut said = Said::default();
        event.record(&mut said);
        let up_ms = (self.start.elapsed().as_secs_f64() * 1e6).round() / 1e3;
        if self.json {
            let at = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default()
                .as_millis();
            let mut line = json!({"at": u64::try_from(at).unwrap_or(u64::MAX), "up_ms": up_ms,
                "message": said.message, "level": event.metadata().level().as_str().to_lowercase()});
            if left_out > 0 {
                line["left_out"] = left_out.into();
            }
            if let Some(line) = line.as_object_mut() {
                line.extend(said.fields);
            }
            return writeln!(writer, "{line}");
        }
        if left_out > 0 {
            let most = self
                .minute
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .most;
            writeln!(
                writer,
                "heathroad: {left_out} lines were left out, {most} a minute are the most"
            )?;
        }
        write!(writer, "heathroad: {}", said.message)?;
        // Messages at this level are the same each time, and what happened stands in the fields.
        if *event.metadata().level() >= Level::DEBUG {
            write!(writer, " up_ms={up_ms}")?;
            said.fields
                .iter()
                .try_for_each(|(name, value)| write!(writer, " {name}={value}"))?;
        }
        writeln!(writer)
    }
}

#[cfg(test)]
#[path = "../tests/unit/logging.rs"]
mod tests;
