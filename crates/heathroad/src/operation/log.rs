//! Events as lines on standard error, by `tracing`: text, or JSON with the events' fields. Bounded a minute, so that nothing that goes
//! wrong again and again fills a log; none is written a request.

use serde_json::{Map, Value, json};
use std::fmt::{self, Debug};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// Most lines a minute; how many were left out is told with the next one.
const MOST: u32 = 600;
const MINUTE: Duration = Duration::from_secs(60);

/// Lines from now on, in the form that `RELAY_LOG` names: `text`, the usual one, or `json`.
pub fn begin() -> Result<(), String> {
    let json = match std::env::var("RELAY_LOG").as_deref() {
        Err(_) | Ok("text") => false,
        Ok("json") => true,
        Ok(other) => return Err(format!("RELAY_LOG: {other:?}: expected text or json")),
    };
    let lines = Lines { json, minute: Mutex::new(Minute { began: Instant::now(), written: 0, left_out: 0 }) };
    let subscriber =
        tracing_subscriber::fmt().with_ansi(false).with_writer(std::io::stderr).event_format(lines);
    tracing::subscriber::set_global_default(subscriber.finish()).map_err(|e| format!("log: {e}"))
}

struct Minute {
    began: Instant,
    written: u32,
    left_out: u64,
}

impl Minute {
    /// Whether one more line may go at a time, and how many were left out before it.
    fn pass(&mut self, now: Instant) -> Option<u64> {
        if now.saturating_duration_since(self.began) >= MINUTE {
            (self.began, self.written) = (now, 0);
        }
        if self.written >= MOST {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}

struct Lines {
    json: bool,
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
            name => drop(self.fields.insert(name.to_string(), format!("{value:?}").into())),
        }
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
        let pass = self.minute.lock().unwrap_or_else(PoisonError::into_inner).pass(Instant::now());
        let Some(left_out) = pass else { return Ok(()) };
        let mut said = Said::default();
        event.record(&mut said);
        if self.json {
            let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
            let mut line = json!({"at": u64::try_from(at).unwrap_or(u64::MAX), "message": said.message,
                "level": event.metadata().level().as_str().to_lowercase()});
            if left_out > 0 {
                line["left_out"] = left_out.into();
            }
            if let Some(line) = line.as_object_mut() {
                line.extend(said.fields);
            }
            return writeln!(writer, "{line}");
        }
        if left_out > 0 {
            writeln!(writer, "heathroad: {left_out} lines were left out, {MOST} a minute are the most")?;
        }
        writeln!(writer, "heathroad: {}", said.message)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_bounded_a_minute() {
        let began = Instant::now();
        let mut minute = Minute { began, written: 0, left_out: 0 };
        assert!((0..MOST).all(|_| minute.pass(began) == Some(0)));
        assert!((0..5).all(|_| minute.pass(began + MINUTE / 2).is_none()));
        assert_eq!(minute.pass(began + MINUTE), Some(5));
        assert_eq!(minute.pass(began + MINUTE), Some(0));
    }
}
