//! The audit as a picture: one lane a proxy, one colour a version (its lists of backends aside),
//! gaps hatched, cut-offs and stalls marked. What is hatched is not known.

use super::membership::version;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;

const LANE: f64 = 26.0;
const LEFT: f64 = 190.0;
const WIDTH: f64 = 900.0;
const TOP: f64 = 40.0;
/// Colours that are told apart; further versions begin again, with their number beside.
pub(super) const COLOURS: [&str; 8] = [
    "#4477aa", "#ee6677", "#228833", "#ccbb44", "#66ccee", "#aa3377", "#bbbbbb", "#ee8866",
];
/// The least time that is shown, in milliseconds.
const LEAST: u64 = 10_000;

/// What tells versions apart here.
fn kind(v: &Value) -> String {
    let mut v = v.clone();
    if let Some(v) = v.as_object_mut() {
        v.remove("sources");
        v.remove("further");
    }
    version(&v, "")
}

pub(super) fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('"', "&quot;")
}

/// Draws an answer to `audit`.
pub fn draw(answer: &Value) -> String {
    let now = answer["at"].as_u64().unwrap_or(0);
    let members: Vec<&Value> = answer["members"].as_array().into_iter().flatten().collect();
    // Of whoever was not reached, what the collector kept.
    let pages = |m: &Value| {
        let pages = m["pages"].as_array().or(m["collected"]["pages"].as_array());
        pages.cloned().unwrap_or_default()
    };
    let first = members
        .iter()
        .flat_map(|m| pages(m))
        .filter_map(|p| p["from"].as_u64())
        .min();
    let begin = first.unwrap_or(now).min(now.saturating_sub(LEAST));
    let x = |t: u64| {
        LEFT + WIDTH * t.saturating_sub(begin) as f64 / (now.saturating_sub(begin)).max(1) as f64
    };
    let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
    for page in members.iter().flat_map(|m| pages(m)) {
        let next = kinds.len();
        kinds.entry(kind(&page["version"])).or_insert(next);
    }
    let height = TOP + LANE * (members.len() + kinds.len()) as f64 + 70.0;
    let mut out = format!(
        concat!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" font-family=\"sans-serif\" ",
            "font-size=\"12\"><rect width=\"100%\" height=\"100%\" fill=\"white\"/><defs><pattern id=\"gap\" width=\"6\" ",
            "height=\"6\" patternUnits=\"userSpaceOnUse\" patternTransform=\"rotate(45)\"><line x1=\"0\" y1=\"0\" x2=\"0\" ",
            "y2=\"6\" stroke=\"#999\" stroke-width=\"2\"/></pattern></defs>",
            "<text x=\"10\" y=\"20\" font-size=\"14\">Fleet {2}, asked of member {3}: who acted on which version</text>"
        ),
        LEFT + WIDTH + 30.0,
        height,
        escape(answer["fleet"].as_str().unwrap_or("")),
        answer["asked"],
    );
    // Writing to text does not fail.
    for (n, m) in members.iter().enumerate() {
        let y = TOP + LANE * n as f64;
        let standing = m["standing"].as_str().unwrap_or("");
        let _ = write!(
            out,
            "<text x=\"10\" y=\"{}\">member {} {standing}</text>",
            y + 16.0,
            m["place"]
        );
        let _ = write!(
            out,
            "<rect x=\"{LEFT}\" y=\"{}\" width=\"{WIDTH}\" height=\"{}\" fill=\"url(#gap)\" stroke=\"#ccc\"/>",
            y + 3.0,
            LANE - 6.0
        );
        let at = m["at"]
            .as_u64()
            .or(m["collected"]["collected_at"].as_u64())
            .unwrap_or(now)
            .min(now);
        for p in pages(m) {
            let (from, to) = (
                p["from"].as_u64().unwrap_or(at),
                p["to"].as_u64().unwrap_or(at),
            );
            let colour = COLOURS[kinds[&kind(&p["version"])] % COLOURS.len()];
            let title = format!("{}; {}", version(&p["version"], ""), p["acts"]);
            let _ = write!(
                out,
                "<rect x=\"{:.1}\" y=\"{}\" width=\"{:.1}\" height=\"{}\" fill=\"{colour}\"><title>{}</title></rect>",
                x(from),
                y + 3.0,
                (x(to) - x(from)).max(1.0),
                LANE - 6.0,
                escape(&title)
            );
        }
        for s in m["spells"].as_array().into_iter().flatten() {
            let (from, to) = (
                s["from"].as_u64().unwrap_or(at).max(begin),
                s["to"].as_u64().unwrap_or(at),
            );
            let (colour, what) = match s["trouble"].as_str() {
                Some("cut_off") => ("#cc0000", "cut off"),
                Some("stalled") => ("black", "stalled"),
                _ => ("#ff9900", "fenced"),
            };
            let _ = write!(
                out,
                "<rect x=\"{:.1}\" y=\"{}\" width=\"{:.1}\" height=\"5\" fill=\"{colour}\"><title>{what}</title></rect>",
                x(from),
                y + LANE - 9.0,
                (x(to.max(from)) - x(from)).max(2.0)
            );
        }
    }
    let below = TOP + LANE * members.len() as f64 + 18.0;
    let shown = now.saturating_sub(begin) as f64 / 1000.0;
    let _ = write!(
        out,
        "<text x=\"{LEFT}\" y=\"{below}\">{shown:.1} s ago</text><text x=\"{}\" y=\"{below}\" text-anchor=\"end\">now</text>",
        LEFT + WIDTH
    );
    for (kind, n) in &kinds {
        let y = below + 12.0 + LANE * *n as f64;
        let colour = COLOURS[n % COLOURS.len()];
        let _ = write!(
            out,
            "<rect x=\"{LEFT}\" y=\"{y}\" width=\"16\" height=\"16\" fill=\"{colour}\"/><text x=\"{}\" y=\"{}\">{}</text>",
            LEFT + 24.0,
            y + 13.0,
            escape(kind)
        );
    }
    let y = below + 12.0 + LANE * kinds.len() as f64;
    let _ = write!(
        out,
        "<text x=\"{LEFT}\" y=\"{}\">hatched: not known; below: red heard nobody, black stalled, orange fenced</text></svg>",
        y + 13.0
    );
    out
}
