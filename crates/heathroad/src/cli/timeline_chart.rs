//! The audit as an SVG chart: one lane for each member, one colour for each version (its endpoint
//! lists aside), and the faults below. What is hatched is not known.

use super::query::{describe_version, elements};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;

const LANE_HEIGHT: f64 = 26.0;
/// The space between the bars of two lanes.
const LANE_GAP: f64 = 6.0;
const BAR_HEIGHT: f64 = LANE_HEIGHT - LANE_GAP;
/// Where the time axis begins; the names of the members are left of it.
const AXIS_LEFT: f64 = 190.0;
const AXIS_WIDTH: f64 = 900.0;
const AXIS_RIGHT: f64 = AXIS_LEFT + AXIS_WIDTH;
const MARGIN_RIGHT: f64 = 30.0;
const HEADING_HEIGHT: f64 = 40.0;
/// The space for the labels of the axis and the note at the end.
const FOOTER_HEIGHT: f64 = 70.0;
/// Colours that can be told apart; further versions begin again, with their number beside.
pub(super) const COLOURS: [&str; 8] = [
    "#4477aa", "#ee6677", "#228833", "#ccbb44", "#66ccee", "#aa3377", "#bbbbbb", "#ee8866",
];
/// The shortest time that is shown.
const MIN_SHOWN_MS: u64 = 10_000;

/// Escapes a text for XML.
pub(super) fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('"', "&quot;")
}

/// Draws the answer to an audit.
pub fn draw(answer: &Value) -> String {
    Chart::new(answer).draw()
}

/// What is drawn, and the scale of its axis.
struct Chart<'a> {
    answer: &'a Value,
    members: Vec<&'a Value>,
    /// The number of each version, which determines its colour.
    versions: BTreeMap<String, usize>,
    begin: u64,
    now: u64,
    svg: String,
}

impl<'a> Chart<'a> {
    fn new(answer: &'a Value) -> Chart<'a> {
        let now = answer["at"].as_u64().unwrap_or(0);
        let members: Vec<&Value> = elements(&answer["members"]).collect();
        let mut versions = BTreeMap::new();
        let mut begin = now.saturating_sub(MIN_SHOWN_MS);
        for interval in members.iter().flat_map(|member| intervals(member)) {
            let next = versions.len();
            versions.entry(version_label(interval)).or_insert(next);
            begin = begin.min(interval["from"].as_u64().unwrap_or(begin));
        }
        Chart {
            answer,
            members,
            versions,
            begin,
            now,
            svg: String::new(),
        }
    }

    fn draw(mut self) -> String {
        self.draw_heading();
        for (lane, member) in self.members.clone().into_iter().enumerate() {
            let y = HEADING_HEIGHT + LANE_HEIGHT * lane as f64;
            self.draw_member(member, y);
        }
        let below = HEADING_HEIGHT + LANE_HEIGHT * self.members.len() as f64 + 18.0;
        self.draw_axis(below);
        self.draw_legend(below + 12.0);
        self.svg
    }

    /// Returns where a time is on the axis.
    fn x(&self, time: u64) -> f64 {
        let shown = self.now.saturating_sub(self.begin).max(1);
        AXIS_LEFT + AXIS_WIDTH * time.saturating_sub(self.begin) as f64 / shown as f64
    }

    fn draw_heading(&mut self) {
        let lanes = (self.members.len() + self.versions.len()) as f64;
        let height = HEADING_HEIGHT + LANE_HEIGHT * lanes + FOOTER_HEIGHT;
        self.svg += &format!(
            concat!(
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" ",
                "font-family=\"sans-serif\" font-size=\"12\">",
                "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>",
                "<defs><pattern id=\"gap\" width=\"6\" height=\"6\" ",
                "patternUnits=\"userSpaceOnUse\" patternTransform=\"rotate(45)\">",
                "<line x1=\"0\" y1=\"0\" x2=\"0\" y2=\"6\" stroke=\"#999\" stroke-width=\"2\"/>",
                "</pattern></defs>",
                "<text x=\"10\" y=\"20\" font-size=\"14\">",
                "Fleet {2}, asked of member {3}: who acted on which version</text>"
            ),
            AXIS_RIGHT + MARGIN_RIGHT,
            height,
            escape(self.answer["fleet"].as_str().unwrap_or("")),
            self.answer["asked"],
        );
    }

    fn draw_member(&mut self, member: &Value, y: f64) {
        let state = member["standing"].as_str().unwrap_or("");
        let id = &member["place"];
        let (label_y, bar_y) = (y + 16.0, y + LANE_GAP / 2.0);
        // Writing to a string does not fail.
        let _ = write!(
            self.svg,
            "<text x=\"10\" y=\"{label_y}\">member {id} {state}</text>\
             <rect x=\"{AXIS_LEFT}\" y=\"{bar_y}\" width=\"{AXIS_WIDTH}\" \
             height=\"{BAR_HEIGHT}\" fill=\"url(#gap)\" stroke=\"#ccc\"/>"
        );
        let written_at = member["at"].as_u64();
        let written_at = written_at.or(member["collected"]["collected_at"].as_u64());
        let known_until = written_at.unwrap_or(self.now).min(self.now);
        for interval in intervals(member) {
            self.draw_interval(interval, known_until, bar_y);
        }
        for fault in elements(&member["spells"]) {
            self.draw_fault(fault, known_until, y + LANE_HEIGHT - 9.0);
        }
    }

    fn draw_interval(&mut self, interval: &Value, known_until: u64, y: f64) {
        let from = interval["from"].as_u64().unwrap_or(known_until);
        let to = interval["to"].as_u64().unwrap_or(known_until);
        let colour = COLOURS[self.versions[&version_label(interval)] % COLOURS.len()];
        let version = describe_version(&interval["version"], "");
        let title = escape(&format!("{version}; {}", interval["acts"]));
        let (x, width) = (self.x(from), (self.x(to) - self.x(from)).max(1.0));
        let _ = write!(
            self.svg,
            "<rect x=\"{x:.1}\" y=\"{y}\" width=\"{width:.1}\" height=\"{BAR_HEIGHT}\" \
             fill=\"{colour}\"><title>{title}</title></rect>"
        );
    }

    fn draw_fault(&mut self, fault: &Value, known_until: u64, y: f64) {
        let from = fault["from"].as_u64().unwrap_or(known_until);
        let from = from.max(self.begin);
        let to = fault["to"].as_u64().unwrap_or(known_until);
        let (colour, title) = match fault["trouble"].as_str() {
            Some("cut_off") => ("#cc0000", "cut off"),
            Some("stalled") => ("black", "stalled"),
            _ => ("#ff9900", "fenced"),
        };
        let (x, width) = (self.x(from), (self.x(to.max(from)) - self.x(from)).max(2.0));
        let _ = write!(
            self.svg,
            "<rect x=\"{x:.1}\" y=\"{y}\" width=\"{width:.1}\" height=\"5\" fill=\"{colour}\">\
             <title>{title}</title></rect>"
        );
    }

    fn draw_axis(&mut self, y: f64) {
        let shown = self.now.saturating_sub(self.begin) as f64 / 1000.0;
        let _ = write!(
            self.svg,
            "<text x=\"{AXIS_LEFT}\" y=\"{y}\">{shown:.1} s ago</text>\
             <text x=\"{AXIS_RIGHT}\" y=\"{y}\" text-anchor=\"end\">now</text>"
        );
    }

    fn draw_legend(&mut self, top: f64) {
        for (label, number) in &self.versions {
            let y = top + LANE_HEIGHT * *number as f64;
            let (label_x, label_y) = (AXIS_LEFT + 24.0, y + 13.0);
            let colour = COLOURS[number % COLOURS.len()];
            let label = escape(label);
            let _ = write!(
                self.svg,
                "<rect x=\"{AXIS_LEFT}\" y=\"{y}\" width=\"16\" height=\"16\" fill=\"{colour}\"/>\
                 <text x=\"{label_x}\" y=\"{label_y}\">{label}</text>"
            );
        }
        let y = top + LANE_HEIGHT * self.versions.len() as f64 + 13.0;
        let _ = write!(
            self.svg,
            "<text x=\"{AXIS_LEFT}\" y=\"{y}\">hatched: not known; below: red heard nobody, \
             black stalled, orange fenced</text></svg>"
        );
    }
}

/// Returns the intervals of a member's record; of a member that was not reached, those of the
/// collector's record.
fn intervals(member: &Value) -> impl Iterator<Item = &Value> {
    let own = &member["pages"];
    elements(if own.is_array() {
        own
    } else {
        &member["collected"]["pages"]
    })
}

/// Describes a version without its endpoint lists.
fn version_label(interval: &Value) -> String {
    let mut version = interval["version"].clone();
    if let Some(fields) = version.as_object_mut() {
        fields.remove("sources");
        fields.remove("further");
    }
    describe_version(&version, "")
}
