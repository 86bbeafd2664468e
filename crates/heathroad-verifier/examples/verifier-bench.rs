//! How long verdicts take, by routes and expectations: `cargo run --release --example
//! verifier-bench -p heathroad-verifier`.

use heathroad_routing::generation::Generation;
use heathroad_verifier::expectations::parse;
use heathroad_verifier::{Environment, verify};
use std::error::Error;
use std::io::Write;
use std::time::{Duration, Instant};

const RUNS: usize = 5;
const CLASSES: usize = 10;

/// Tenants by classes in two pools, with paths, hosts and headers in between.
fn routes(n: usize) -> String {
    let mut text = String::new();
    for pool in ["one", "two"] {
        let list: Vec<String> = (0..100)
            .map(|b| {
                format!(
                    "{{ address = \"127.0.0.1:{}\", site = \"s{}\" }}",
                    9000 + b,
                    b % 4
                )
            })
            .collect();
        text += &format!(
            "[[pool]]\nname = {pool:?}\nbackends = [{}]\n",
            list.join(", ")
        );
        for class in 0..CLASSES {
            text += &format!(
                "[[pool.class]]\nname = \"c{class}\"\neffect = \"safe\"\naim_ms = 1\ndeadline_ms = 1\n"
            );
        }
    }
    text += "[[route]]\nname = \"all\"\npool = \"one\"\n";
    for i in 1..n {
        let (tenant, class) = (i / CLASSES, i % CLASSES);
        let deeper = match i % 7 {
            0 => "path = \"/v2/*\"\n",
            1 => "path = \"/v2/*\"\nhost = \"*.example.org\"\n",
            2 => {
                "path = \"/v2/*\"\nhost = \"*.example.org\"\nheader = { name = \"X-Canary\", is = \"1\" }\n"
            }
            _ => "",
        };
        text += &format!(
            "[[route]]\nname = \"r{i}\"\ntenant = \"t{tenant}\"\nclass = \"c{class}\"\n{deeper}\
             [[route.split]]\npool = \"one\"\nweight = 9\n[[route.split]]\npool = \"two\"\nweight = 1\n"
        );
    }
    text
}

/// A part each about all requests, about a tenant's, a class's, and both.
fn expectations(n: usize) -> String {
    let demands = "served = true\nlosing = { sites = 1 }\nnodes = { at_least = 3 }\nonly = { pools = [\"one\", \"two\"] }\n";
    let scope = |i: usize| match i % 4 {
        0 => String::new(),
        1 => format!("tenant = \"t{}\"\n", i % 50),
        2 => format!("class = \"c{}\"\n", i % CLASSES),
        _ => format!("tenant = \"t{}\"\nclass = \"c{}\"\n", i % 50, i % CLASSES),
    };
    (0..n)
        .map(|i| format!("[[expect]]\nname = \"e{i}\"\n{}{demands}", scope(i)))
        .collect()
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut out = std::io::stdout();
    writeln!(
        out,
        "routes  expectations  cases     read ms  judge ms (min, median, max of {RUNS})"
    )?;
    for (r, e) in [
        (10, 20),
        (100, 50),
        (1_000, 50),
        (1_000, 200),
        (1_000, 1_000),
        (10_000, 200),
    ] {
        let (routes, expected) = (routes(r), expectations(e));
        let begun = Instant::now();
        let generation = Generation::parse(1, "routes", &routes)?;
        let expected = parse("expect", &expected)?;
        let reading = begun.elapsed();
        let mut took: Vec<Duration> = Vec::new();
        let mut cases = 0;
        for _ in 0..RUNS {
            let begun = Instant::now();
            let report = verify(&generation, &expected, &Environment::default())?;
            took.push(begun.elapsed());
            if !report.holds() {
                return Err(report.failures().join("\n").into());
            }
            cases = report.verdicts.iter().map(|v| v.case_count).sum();
        }
        took.sort();
        let ms = |d: Duration| d.as_secs_f64() * 1e3;
        let [low, mid, high] = [took[0], took[RUNS / 2], took[RUNS - 1]].map(ms);
        writeln!(
            out,
            "{r:6}  {e:12}  {cases:8}  {:7.1}  {low:.1}, {mid:.1}, {high:.1}",
            ms(reading)
        )?;
    }
    Ok(())
}
