//! What is asked of duties on the command line, and the answers as text and as a picture.

use super::arguments::Duty;
use super::timeline_chart::{COLOURS, escape};
use super::{admin_client, query};
use hyper::Method;
use serde_json::Value;
use std::fmt::Write;

/// Asks, and words the answer.
pub fn ask(ask: &Duty) -> Result<String, String> {
    match ask {
        Duty::List { how } => query::run(how, "/duty/list", list),
        Duty::History { how, picture } => {
            let text = query::fetch(how, "/duty/history")?;
            let answer = query::parse(&text)?;
            if let Some(file) = picture {
                std::fs::write(file, draw(&answer))
                    .map_err(|e| format!("{}: {e}", file.display()))?;
            }
            Ok(if how.json { text } else { history(&answer) })
        }
        Duty::Resign { name, at } => {
            let path = format!("/duty/resign?name={name}");
            admin_client::call(at.admin, Method::POST, &path, String::new())
        }
    }
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

fn rows(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

fn places(value: &Value) -> String {
    rows(value)
        .map(Value::to_string)
        .collect::<Vec<_>>()
        .join(", ")
}

fn list(answer: &Value) -> String {
    let mut out = format!(
        "asked of member {}; voters {} (generation {}), lease {}",
        answer["asked"],
        places(&answer["voters"]),
        answer["generation"],
        query::format_duration(&answer["lease_ms"])
    );
    for d in rows(&answer["duties"]) {
        let holder = match (d["holder"].as_u64(), d["majority_reached"] == true) {
            (Some(place), _) => format!("held by member {place}, token {}", text(&d["token"])),
            (None, true) => "held by nobody, as far as voters say".into(),
            (None, false) => {
                "NOT KNOWN: no majority of voters answered; nothing new is granted".into()
            }
        };
        // Writing to text does not fail.
        let _ = write!(
            out,
            "\n{} ({}): {holder}",
            text(&d["name"]),
            text(&d["work"])
        );
        if d["held_here"].is_object() {
            let _ = write!(
                out,
                "; held here for {} more",
                query::format_duration(&d["held_here"]["left_ms"])
            );
        }
        if let Some(why) = d["unfit"].as_str() {
            let _ = write!(out, "\n    member {} gave it back: {why}", answer["asked"]);
        }
        for v in rows(&d["voters"]) {
            let why = match v["why"].as_str() {
                Some("held") => "granted",
                Some("silent") => "silent, it has started lately",
                Some("held_back") => "HELD BACK, its last holders died young",
                _ => "free",
            };
            let died = match v["died"].as_u64() {
                Some(n) if n > 0 => format!(", {n} young deaths in a row"),
                _ => String::new(),
            };
            let _ = write!(
                out,
                "\n    voter {}: {why}, {} left, highest token {}{died}",
                v["voter"],
                query::format_duration(&v["left_ms"]),
                text(&v["highest"])
            );
        }
    }
    out
}

fn history(answer: &Value) -> String {
    let at = answer["at"].as_u64().unwrap_or(0);
    let ago = |t: &Value| match t.as_u64() {
        Some(t) if t <= at => format!("{} ago", query::format_duration(&(at - t).into())),
        Some(t) => format!("in {}", query::format_duration(&(t - at).into())),
        None => "now".into(),
    };
    let mut out = format!("asked of member {}", answer["asked"]);
    if rows(&answer["unreached"]).next().is_some() {
        let _ = write!(
            out,
            "; NOT REACHED: members {}",
            places(&answer["unreached"])
        );
    }
    for d in rows(&answer["duties"]) {
        let _ = write!(out, "\n{}", text(&d["name"]));
        for s in rows(&d["spells"]) {
            let end = match (s["holds"] == true, s["to"].is_null()) {
                (true, _) => "now".into(),
                (_, false) => format!("{} ({})", ago(&s["to"]), text(&s["why"])),
                _ => format!("{} at the latest, by its voters", ago(&s["at_the_latest"])),
            };
            let known = if s["known"] == true {
                "held"
            } else {
                "may have held, by what voters granted"
            };
            let _ = write!(
                out,
                "\n    {}  member {} {known} from {} to {end}",
                text(&s["token"]),
                s["place"],
                ago(&s["from"])
            );
        }
    }
    out
}

const LANE: f64 = 30.0;
const LEFT: f64 = 140.0;
const WIDTH: f64 = 900.0;
const TOP: f64 = 44.0;

/// Draws an answer to `history`: one lane a duty, one colour a holder; what is hatched is a bound
/// and not known.
fn draw(answer: &Value) -> String {
    let now = answer["at"].as_u64().unwrap_or(0);
    let duties: Vec<&Value> = rows(&answer["duties"]).collect();
    let spells = || duties.iter().flat_map(|d| rows(&d["spells"]));
    let first = spells()
        .filter_map(|s| s["from"].as_u64())
        .min()
        .unwrap_or(now);
    let begin = first.min(now.saturating_sub(10_000));
    let x = |t: u64| {
        LEFT + WIDTH * t.clamp(begin, now).saturating_sub(begin) as f64
            / (now - begin).max(1) as f64
    };
    let mut holders: Vec<u64> = spells().filter_map(|s| s["place"].as_u64()).collect();
    holders.sort_unstable();
    holders.dedup();
    let colour =
        |place: u64| COLOURS[holders.iter().position(|h| *h == place).unwrap_or(0) % COLOURS.len()];
    let lanes = TOP + LANE * duties.len() as f64;
    let height = lanes + 40.0 + 20.0 * holders.len() as f64 + 24.0;
    let mut out = format!(
        concat!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" font-family=\"sans-serif\" ",
            "font-size=\"12\"><rect width=\"100%\" height=\"100%\" fill=\"white\"/><defs><pattern id=\"bound\" width=\"6\" ",
            "height=\"6\" patternUnits=\"userSpaceOnUse\" patternTransform=\"rotate(45)\"><line x1=\"0\" y1=\"0\" x2=\"0\" ",
            "y2=\"6\" stroke=\"black\" stroke-width=\"2\"/></pattern></defs>",
            "<text x=\"10\" y=\"20\" font-size=\"14\">Who held which duty, asked of member {2}</text>"
        ),
        LEFT + WIDTH + 30.0,
        height,
        answer["asked"]
    );
    for (n, d) in duties.iter().enumerate() {
        let y = TOP + LANE * n as f64;
        let _ = write!(
            out,
            "<text x=\"10\" y=\"{}\">{}</text>",
            y + 17.0,
            escape(text(&d["name"]))
        );
        let _ = write!(
            out,
            "<rect x=\"{LEFT}\" y=\"{}\" width=\"{WIDTH}\" height=\"{}\" fill=\"#f4f4f4\" stroke=\"#ccc\"/>",
            y + 3.0,
            LANE - 8.0
        );
        for s in rows(&d["spells"]) {
            let (place, from) = (
                s["place"].as_u64().unwrap_or(0),
                s["from"].as_u64().unwrap_or(now),
            );
            let to = if s["holds"] == true {
                now
            } else {
                s["at_the_latest"].as_u64().unwrap_or(from)
            };
            let sure = s["known"] == true && (s["holds"] == true || !s["to"].is_null());
            let title = escape(&format!(
                "member {place}, token {}, {}",
                text(&s["token"]),
                text(&s["why"])
            ));
            for fill in [Some(colour(place)), (!sure).then_some("url(#bound)")]
                .into_iter()
                .flatten()
            {
                let _ = write!(
                    out,
                    "<rect x=\"{:.1}\" y=\"{}\" width=\"{:.1}\" height=\"{}\" fill=\"{fill}\" stroke=\"white\"><title>{title}</title></rect>",
                    x(from),
                    y + 3.0,
                    (x(to) - x(from)).max(2.0),
                    LANE - 8.0
                );
            }
        }
    }
    let shown = (now - begin) as f64 / 1000.0;
    let _ = write!(
        out,
        "<text x=\"{LEFT}\" y=\"{0}\">{shown:.1} s ago</text><text x=\"{1}\" y=\"{0}\" text-anchor=\"end\">now</text>",
        lanes + 16.0,
        LEFT + WIDTH
    );
    for (n, place) in holders.iter().enumerate() {
        let y = lanes + 30.0 + 20.0 * n as f64;
        let _ = write!(
            out,
            "<rect x=\"{LEFT}\" y=\"{y}\" width=\"14\" height=\"14\" fill=\"{}\"/><text x=\"{}\" y=\"{}\">member {place}</text>",
            colour(*place),
            LEFT + 22.0,
            y + 12.0
        );
    }
    let _ = write!(
        out,
        "<text x=\"{LEFT}\" y=\"{}\">hatched: bounded by what voters granted, not known from the holder; empty: held by nobody</text></svg>",
        height - 10.0
    );
    out
}
