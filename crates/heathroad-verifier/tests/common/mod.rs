//! A configuration and a file of expectations that all hold for it.

#![allow(dead_code)] // not every test file uses every item

use heathroad_routing::generation::Generation;
use heathroad_verifier::expectations::{Expectations, parse};
use heathroad_verifier::{Environment, Report, verify};
use std::rc::Rc;

pub const ROUTES: &str = r#"
tenants = ["kano-textiles", "zaria-foods", "sahel-agro"]

[[pool]]
name = "reads"
registry = "default"
select = { site = "kano-dc" }
open = 200
[[pool.class]]
name = "claim-status"
effect = "safe"
aim_ms = 700
deadline_ms = 2000
[[pool.class]]
name = "rate-lookup"
effect = "safe"
aim_ms = 700
deadline_ms = 2000

[[pool]]
name = "writes"
backends = [
  { address = "127.0.0.1:9001", site = "kano-dc", block = 1 },
  { address = "127.0.0.1:9002", site = "kano-dc", block = 1 },
  { address = "127.0.0.1:9003", site = "jos-dc", block = 2 },
  { address = "127.0.0.1:9004", site = "jos-dc", block = 2 },
]
[pool.rpc]
port = 9100
[[pool.class]]
name = "claim-submit"
effect = "keyed"
group = "block"
window_ms = 10_000
aim_ms = 700
deadline_ms = 2000
worth = 3
[[pool.class]]
name = "payout"
effect = "unsafe"
aim_ms = 700
deadline_ms = 2000
[[pool.class]]
name = "draft-save"
effect = "unsafe"
aim_ms = 700
deadline_ms = 2000

[[pool]]
name = "trial"
backends = ["127.0.0.1:9005", "127.0.0.1:9006"]
[[pool.class]]
name = "rate-lookup"
effect = "safe"
aim_ms = 500
deadline_ms = 2000

[[route]]
name = "all"
pool = "reads"

[[route]]
name = "submits"
class = "claim-submit"
pool = "writes"

[[route]]
name = "payouts"
class = "payout"
pool = "writes"

[[route]]
name = "drafts"
class = "draft-save"
pool = "writes"

[[route]]
name = "rates"
class = "rate-lookup"
[[route.split]]
pool = "reads"
weight = 95
[[route.split]]
pool = "trial"
weight = 5

[[listener]]
name = "finance"
protocol = "json-rpc"
listen = "127.0.0.1:0"
tenant = "zaria-foods"
[[listener.method]]
name = "claims.submit"
class = "claim-submit"
key = "/claim/id"
[[listener.method]]
name = "claims.payout"
class = "payout"
"#;

pub const EXPECTED: &str = r#"
[[node]]
address = "127.0.0.1:9010"
site = "kano-dc"
class = "m1"
block = 1
[[node]]
address = "127.0.0.1:9011"
site = "kano-dc"
class = "m2"
block = 2
[[node]]
address = "127.0.0.1:9012"
site = "jos-dc"
class = "m2"
block = 3

[[state]]
name = "node 9001 drains"
drains = ["127.0.0.1:9001"]
[[state]]
name = "kano-dc is gone"
sites_gone = ["kano-dc"]

[[expect]]
name = "drafts of kano-textiles stay with the writes"
class = "draft-save"
tenant = "kano-textiles"
only = { pools = ["writes"], sites = ["kano-dc", "jos-dc"], nodes = ["127.0.0.1:9001", "127.0.0.1:9002", "127.0.0.1:9003", "127.0.0.1:9004"] }

[[expect]]
name = "payouts never run twice"
class = "payout"
again = "never"

[[expect]]
name = "submits run again only in their block"
class = "claim-submit"
again = "keyed"
group = "block"
window_ms = { at_most = 10_000 }
mates = { at_least = 1 }
worth = { at_least = 2 }

[[expect]]
name = "what changes something never tries the trial"
tenant = "zaria-foods"
class = "claim-submit"
never = { pools = ["trial", "reads"], kinds = ["m2"] }

[[expect]]
name = "all are served"
served = true

[[expect]]
name = "writes survive a site"
class = "claim-submit"
served = true
states = ["node 9001 drains"]
losing = { sites = 1 }

[[expect]]
name = "writes keep two nodes"
class = "payout"
states = ["kano-dc is gone"]
nodes = { at_least = 2 }

[[expect]]
name = "few rates try the trial"
class = "rate-lookup"
aim_ms = { at_most = 700 }
deadline_ms = { at_most = 2000 }
open = { at_most = 500 }
attempts = { at_most = 6 }
[[expect.share]]
pool = "trial"
at_most = 0.05

[[expect]]
name = "reads stay at home"
class = "claim-status"
only = { sites = ["kano-dc"] }
never = { nodes = ["127.0.0.1:9012"], blocks = [3] }

[[expect]]
name = "finance can't look at rates"
listener = "finance"
class = "rate-lookup"
may_be_empty = true
served = false
"#;

pub fn generation(text: &str) -> Rc<Generation> {
    Generation::parse(1, "routes.toml", text).unwrap_or_else(|e| panic!("{e}"))
}

pub fn expectations(text: &str) -> Expectations {
    parse("expect.toml", text).unwrap_or_else(|e| panic!("{e}"))
}

pub fn environment(expectations: &Expectations) -> Environment {
    Environment {
        max_attempts: Some(3),
        max_open_requests: Some(400),
        nodes: expectations.nodes.clone(),
        ..Environment::default()
    }
}

pub fn report(routes: &str, expected: &str) -> Report {
    let expectations = expectations(expected);
    verify(
        &generation(routes),
        &expectations,
        &environment(&expectations),
    )
    .expect("can be verified")
}
