//! The history of leases as an SVG picture: one lane a lease, one colour a holder. What is hatched
//! is a bound by voters' grants, and not confirmed by the holder.

use super::timeline_chart::{COLOURS, escape};
use crate::lease::report::{HistoryReport, Hold, LeaseHistory};
use heathroad_lease::MemberId;
use std::fmt::Write;

/// Height of a lane, in pixels as all sizes here.
const LANE_HEIGHT: f64 = 30.0;
/// Space between lanes, half of it on each side.
const LANE_GAP: f64 = 8.0;
const LABEL_WIDTH: f64 = 140.0;
const LANE_WIDTH: f64 = 900.0;
const RIGHT_MARGIN: f64 = 30.0;
const TITLE_HEIGHT: f64 = 44.0;
const LEGEND_LINE_HEIGHT: f64 = 20.0;
/// Space between the lanes and the legend, which holds the time axis.
const AXIS_HEIGHT: f64 = 40.0;
const FOOTER_HEIGHT: f64 = 24.0;
/// A hold is drawn at least this wide, so that it is seen.
const MIN_HOLD_WIDTH: f64 = 2.0;
/// Shortest time span that is shown.
const MIN_SPAN_MS: u64 = 10_000;

/// Draws a history.
pub(super) fn draw(history: &HistoryReport) -> String {
    let chart = Chart::new(history);
    let mut svg = chart.header(history.asked);
    for (index, lease) in history.leases.iter().enumerate() {
        chart.draw_lane(&mut svg, index, lease);
    }
    chart.draw_axis(&mut svg);
    chart.draw_legend(&mut svg);
    svg
}

struct Chart {
    begin: u64,
    now: u64,
    /// All holders, each with a colour by its position.
    holders: Vec<MemberId>,
    lane_count: usize,
}

impl Chart {
    fn new(history: &HistoryReport) -> Chart {
        let holds = || history.leases.iter().flat_map(|lease| &lease.holds);
        let now = history.at;
        let first = holds().filter_map(|hold| hold.from).min().unwrap_or(now);
        let mut holders: Vec<MemberId> = holds().map(|hold| hold.holder).collect();
        holders.sort_unstable();
        holders.dedup();
        Chart {
            begin: first.min(now.saturating_sub(MIN_SPAN_MS)),
            now,
            holders,
            lane_count: history.leases.len(),
        }
    }

    fn x(&self, time: u64) -> f64 {
        let elapsed = time.clamp(self.begin, self.now).saturating_sub(self.begin);
        LABEL_WIDTH + LANE_WIDTH * elapsed as f64 / (self.now - self.begin).max(1) as f64
    }

    fn lanes_bottom(&self) -> f64 {
        TITLE_HEIGHT + LANE_HEIGHT * self.lane_count as f64
    }

    fn height(&self) -> f64 {
        let legend_height = LEGEND_LINE_HEIGHT * self.holders.len() as f64;
        self.lanes_bottom() + AXIS_HEIGHT + legend_height + FOOTER_HEIGHT
    }

    fn colour(&self, holder: MemberId) -> &'static str {
        let position = self.holders.iter().position(|known| *known == holder);
        COLOURS[position.unwrap_or(0) % COLOURS.len()]
    }

    fn header(&self, asked: MemberId) -> String {
        let width = LABEL_WIDTH + LANE_WIDTH + RIGHT_MARGIN;
        let height = self.height();
        format!(
            concat!(
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" ",
                "font-family=\"sans-serif\" font-size=\"12\">",
                "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>",
                "<defs><pattern id=\"bound\" width=\"6\" height=\"6\" patternUnits=\"userSpaceOnUse\" ",
                "patternTransform=\"rotate(45)\"><line x1=\"0\" y1=\"0\" x2=\"0\" y2=\"6\" ",
                "stroke=\"black\" stroke-width=\"2\"/></pattern></defs>",
                "<text x=\"10\" y=\"20\" font-size=\"14\">Holders of leases, asked of member {asked}</text>"
            ),
            width = width,
            height = height,
            asked = asked
        )
    }

    // Writing to text does not fail.

    fn draw_lane(&self, svg: &mut String, index: usize, lease: &LeaseHistory) {
        let y = TITLE_HEIGHT + LANE_HEIGHT * index as f64;
        let (label_y, lane_y) = (y + 17.0, y + 3.0);
        let height = LANE_HEIGHT - LANE_GAP;
        let name = escape(&lease.name);
        let _ = write!(svg, "<text x=\"10\" y=\"{label_y}\">{name}</text>");
        let _ = write!(
            svg,
            "<rect x=\"{LABEL_WIDTH}\" y=\"{lane_y}\" width=\"{LANE_WIDTH}\" height=\"{height}\" fill=\"#f4f4f4\" stroke=\"#ccc\"/>"
        );
        for hold in &lease.holds {
            self.draw_hold(svg, lane_y, hold);
        }
    }

    fn draw_hold(&self, svg: &mut String, lane_y: f64, hold: &Hold) {
        let from = hold.from.unwrap_or(self.now);
        let to = if hold.is_held {
            self.now
        } else {
            hold.ended_by.unwrap_or(from)
        };
        let is_certain = hold.is_confirmed && (hold.is_held || hold.to.is_some());
        let reason = hold.end_reason.as_deref().unwrap_or("-");
        let title = escape(&format!(
            "member {}, token {}, {reason}",
            hold.holder, hold.token
        ));
        let x = self.x(from);
        let width = (self.x(to) - x).max(MIN_HOLD_WIDTH);
        let height = LANE_HEIGHT - LANE_GAP;
        let hatching = (!is_certain).then_some("url(#bound)");
        for fill in std::iter::once(self.colour(hold.holder)).chain(hatching) {
            let _ = write!(
                svg,
                "<rect x=\"{x:.1}\" y=\"{lane_y}\" width=\"{width:.1}\" height=\"{height}\" fill=\"{fill}\" stroke=\"white\"><title>{title}</title></rect>"
            );
        }
    }

    fn draw_axis(&self, svg: &mut String) {
        let span_s = (self.now - self.begin) as f64 / 1000.0;
        let y = self.lanes_bottom() + 16.0;
        let right = LABEL_WIDTH + LANE_WIDTH;
        let _ = write!(
            svg,
            "<text x=\"{LABEL_WIDTH}\" y=\"{y}\">{span_s:.1} s ago</text><text x=\"{right}\" y=\"{y}\" text-anchor=\"end\">now</text>"
        );
    }

    fn draw_legend(&self, svg: &mut String) {
        for (index, holder) in self.holders.iter().enumerate() {
            let y = self.lanes_bottom() + 30.0 + LEGEND_LINE_HEIGHT * index as f64;
            let (text_x, text_y) = (LABEL_WIDTH + 22.0, y + 12.0);
            let colour = self.colour(*holder);
            let _ = write!(
                svg,
                "<rect x=\"{LABEL_WIDTH}\" y=\"{y}\" width=\"14\" height=\"14\" fill=\"{colour}\"/><text x=\"{text_x}\" y=\"{text_y}\">member {holder}</text>"
            );
        }
        let y = self.height() - 10.0;
        let _ = write!(
            svg,
            "<text x=\"{LABEL_WIDTH}\" y=\"{y}\">hatched: bounded by voters' grants, not confirmed by the holder; empty: held by nobody</text></svg>"
        );
    }
}
