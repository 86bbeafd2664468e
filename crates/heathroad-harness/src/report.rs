//! HTML report: one self-contained page with the verdict, plots over time as inline SVG, and the
//! comparison with the daemons' counts.

use crate::clock::{Micros, SECOND, format_seconds};
use crate::event_log::AttemptEnd;
use crate::load_generator::PLANNED_REPEAT;
use crate::summary::{Code, Summary};
use plotters::prelude::*;
use std::fmt::Write;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (1100, 300);
/// Palette that remains distinguishable with color vision deficiency.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
];
const BAND_COLOUR: RGBColor = RGBColor(120, 120, 120);
const VIOLATION_COLOUR: RGBColor = RGBColor(200, 0, 0);
/// Rows over which the labels of fault bands are spread.
const LABEL_ROWS: usize = 4;

/// A line over time, in seconds since the start of the run.
struct Series {
    name: String,
    colour: RGBColor,
    points: Vec<(f64, f64)>,
    filled: bool,
}

/// Elements common to all plots.
struct Background {
    length: f64,
    /// Start, end and label.
    bands: Vec<(f64, f64, String)>,
    violations: Vec<f64>,
}

fn seconds_since(at: Micros, start: Micros) -> f64 {
    at as f64 / SECOND as f64 - start as f64 / SECOND as f64
}

/// Renders the page.
pub fn page(summary: &Summary) -> Result<String, String> {
    let schedule = &summary.record.schedule;
    let at = |t: Micros| seconds_since(t, schedule.start);
    let changes = schedule
        .scenario
        .change
        .iter()
        .map(|c| (c.at_s, c.at_s, "route change".to_string()));
    let background = Background {
        length: schedule.duration as f64 / SECOND as f64,
        bands: schedule
            .faults
            .iter()
            .map(|f| (at(f.at), at(f.until), f.label(&schedule.scenario)))
            .chain(changes)
            .collect(),
        violations: summary
            .verdict
            .violations
            .iter()
            .map(|b| at(b.at))
            .collect(),
    };
    let mut out = String::new();
    write_page(&mut out, summary, &background).map_err(|e| format!("report: {e}"))?;
    Ok(out)
}

fn write_page(out: &mut String, summary: &Summary, background: &Background) -> Result<(), String> {
    let text = |e: std::fmt::Error| e.to_string();
    let title = escape(&summary.record.schedule.title());
    let (verdict, colour) = match summary.code() {
        Code::Passed => ("passed", "#00704f"),
        Code::Void => ("void: no verdict", "#8a6100"),
        _ => ("failed", "#b00000"),
    };
    write!(
        out,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>\
         body{{font:15px/1.45 system-ui,sans-serif;max-width:1120px;margin:2em auto;padding:0 1em;color:#222;\
         background:#fff}}pre{{background:#f5f5f2;padding:1em;overflow-x:auto}}table{{border-collapse:collapse}}\
         td,th{{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:left}}td.n{{text-align:right;\
         font-variant-numeric:tabular-nums}}tr.off td{{background:#fde8e4}}svg{{width:100%;height:auto}}\
         .verdict{{color:#fff;background:{colour};padding:.15em .6em;border-radius:.2em}}</style>\
         <h1>{title}</h1><p><span class=\"verdict\">{verdict}</span></p><p>{}</p><pre>{}</pre>",
        escape(summary.record.schedule.scenario.about.trim()),
        escape(&summary.table()),
    )
    .map_err(text)?;
    out.push_str("<h2>Worth by second, requested and earned</h2>");
    out.push_str(&chart(background, "worth", &worth(summary))?);
    out.push_str("<h2>Latency of served requests, including retries</h2>");
    out.push_str(&chart(background, "ms", &latency(summary))?);
    out.push_str("<h2>Limit and requests in flight, by proxy of the first tier</h2>");
    out.push_str(&chart(background, "requests", &limits(summary))?);
    out.push_str("<p>Grey bands are faults, red lines are breaches.</p><h2>Breaches</h2>");
    if summary.verdict.violations.is_empty() {
        out.push_str("<p>None.</p>");
    } else {
        out.push_str("<table><tr><th>Rule<th>At<th>Request<th>Proof</tr>");
        for b in &summary.verdict.violations {
            let id = b.id.map(|id| format!("{id:016x}")).unwrap_or_default();
            let (rule, at, proof) = (b.rule.name(), format_seconds(b.at), escape(&b.proof));
            write!(
                out,
                "<tr><td>{rule}<td class=n>{at}<td>{id}<td>{proof}</tr>"
            )
            .map_err(text)?;
        }
        out.push_str("</table>");
    }
    out.push_str(
        "<h2>Event log compared with the daemons' counts</h2><table><tr><th>Figure<th>Seen<th>Counted</tr>",
    );
    for l in &summary.lines {
        let [least, most] = l.seen;
        let seen = if least == most {
            least.to_string()
        } else {
            format!("{least} to {most}")
        };
        let off = if l.agrees() { "" } else { " class=off" };
        let what = escape(&l.what);
        write!(
            out,
            "<tr{off}><td>{what}<td class=n>{seen}<td class=n>{}</tr>",
            l.counted
        )
        .map_err(text)?;
    }
    out.push_str("</table></html>\n");
    Ok(())
}

fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '"' => out.push_str("&quot;"),
            c => out.push(c),
        }
    }
    out
}

fn worth(summary: &Summary) -> Vec<Series> {
    let by_second = &summary.verdict.worth.by_second;
    let points = |i: usize| {
        by_second
            .iter()
            .enumerate()
            .map(|(s, w)| (s as f64 + 0.5, w[i]))
            .collect()
    };
    let asked = Series {
        name: "asked".into(),
        colour: BAND_COLOUR,
        points: points(0),
        filled: false,
    };
    let earned = Series {
        name: "earned".into(),
        colour: COLOURS[0],
        points: points(1),
        filled: true,
    };
    vec![earned, asked]
}

fn latency(summary: &Summary) -> Vec<Series> {
    let schedule = &summary.record.schedule;
    let mut seconds = vec![Vec::new(); schedule.duration.div_ceil(SECOND).max(1) as usize];
    let last = seconds.len() - 1;
    for t in summary
        .record
        .event_log
        .attempts
        .iter()
        .filter(|t| t.is_from_client() && t.retry != PLANNED_REPEAT)
    {
        let (AttemptEnd::Served(_), Some(first)) =
            (&t.end, schedule.requests.get(t.request_index as usize))
        else {
            continue;
        };
        let second = (first.at.saturating_sub(schedule.start) / SECOND) as usize;
        seconds[second.min(last)].push(t.ended_at.saturating_sub(t.read_delay + first.at));
    }
    seconds.iter_mut().for_each(|s| s.sort_unstable());
    let percentile = |share: f64| {
        let of = |(i, s): (usize, &Vec<Micros>)| {
            let at = (s.len().checked_sub(1)? as f64 * share).round() as usize;
            Some((i as f64 + 0.5, *s.get(at)? as f64 / 1000.0))
        };
        seconds
            .iter()
            .enumerate()
            .filter_map(of)
            .collect::<Vec<_>>()
    };
    [
        ("median", 0.5),
        ("90th percentile", 0.9),
        ("99th percentile", 0.99),
    ]
    .into_iter()
    .zip(COLOURS)
    .map(|((name, share), colour)| Series {
        name: name.into(),
        colour,
        points: percentile(share),
        filled: false,
    })
    .collect()
}

fn limits(summary: &Summary) -> Vec<Series> {
    let seen = &summary.record;
    let mut series = Vec::new();
    let of_first = |i: &usize| seen.proxy_tiers.get(*i) == Some(&0);
    for (n, no) in (0..seen.proxies.len()).filter(of_first).enumerate() {
        let colour = COLOURS[n % COLOURS.len()];
        let samples = || {
            seen.samples
                .iter()
                .filter(move |s| usize::from(s.proxy) == no)
        };
        let at = |t| seconds_since(t, seen.schedule.start).max(0.0);
        let limit = samples().map(|s| (at(s.at), s.limit)).collect();
        let in_flight = samples().map(|s| (at(s.at), s.in_flight)).collect();
        let name = &seen.proxies[no];
        series.push(Series {
            name: format!("{name} in flight"),
            colour,
            points: in_flight,
            filled: true,
        });
        series.push(Series {
            name: format!("{name} limit"),
            colour,
            points: limit,
            filled: false,
        });
    }
    series
}

fn chart(background: &Background, unit: &str, series: &[Series]) -> Result<String, String> {
    let mut svg = String::new();
    draw(&mut svg, background, unit, series).map_err(|e| format!("report: {e}"))?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    background: &Background,
    unit: &str,
    series: &[Series],
) -> Result<(), Box<dyn std::error::Error>> {
    let top = series
        .iter()
        .flat_map(|s| &s.points)
        .map(|p| p.1)
        .fold(0.0, f64::max)
        .max(1e-3)
        * 1.25;
    let root = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..background.length, 0.0..top)?;
    for (from, to, _) in &background.bands {
        // Instantaneous faults get a visible width.
        let area = [
            (*from, 0.0),
            (
                to.max(from + background.length / 400.0)
                    .min(background.length),
                top,
            ),
        ];
        chart.draw_series([Rectangle::new(area, BAND_COLOUR.mix(0.14).filled())])?;
    }
    chart
        .configure_mesh()
        .disable_x_mesh()
        .max_light_lines(0)
        .bold_line_style(BLACK.mix(0.1))
        .x_desc("seconds")
        .y_desc(unit)
        .draw()?;
    for s in series {
        if s.filled {
            let area = AreaSeries::new(s.points.iter().copied(), 0.0, s.colour.mix(0.25));
            chart.draw_series(area.border_style(s.colour.mix(0.7)))?
        } else {
            chart.draw_series(LineSeries::new(
                s.points.iter().copied(),
                s.colour.stroke_width(2),
            ))?
        }
        .label(s.name.as_str())
        .legend(|(x, y)| Rectangle::new([(x, y - 2), (x + 16, y + 2)], s.colour.filled()));
    }
    for at in &background.violations {
        chart.draw_series(LineSeries::new(
            [(*at, 0.0), (*at, top)],
            VIOLATION_COLOUR.stroke_width(1),
        ))?;
    }
    for (i, (from, _, label)) in background.bands.iter().enumerate() {
        let y = top * (0.98 - 0.075 * (i % LABEL_ROWS) as f64);
        let style = ("sans-serif", 12).into_font().color(&BLACK.mix(0.75));
        chart.draw_series([Text::new(
            label.clone(),
            (from + background.length * 0.004, y),
            style,
        )])?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.2))
        .draw()?;
    root.present()?;
    Ok(())
}
