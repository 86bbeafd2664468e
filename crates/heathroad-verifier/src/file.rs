//! The file of expectations: TOML, read with lines, checked whole. It says nothing that a file of
//! routes says, so that either can be changed by itself; names that the routes don't have are found
//! when the two are held together.

use crate::nodes::{Kind, Loss, Node, State};
use heathroad_routing::condition::Match;
use heathroad_routing::fault::Faults;
use heathroad_routing::file::Group;
use heathroad_routing::reader::{self, Lines, Section};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use toml::de::DeValue;

/// Most expectations, states and nodes of a file, and most items of a list in it.
pub const MAX_LIST: usize = 10_000;
/// Most nodes, sites or blocks that may be assumed to be lost together.
const MAX_LOST: u32 = 1_000;

/// What must be true.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Expectations {
    /// The file's name, as it was given.
    pub file: String,
    /// Nodes that registries are assumed to tell, where nobody is asked for those that they do.
    pub nodes: Vec<Node>,
    /// States that expectations name.
    pub states: Vec<State>,
    /// Each by itself.
    pub list: Vec<Expectation>,
}

/// Something that must be true of some requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Expectation {
    /// Its name.
    pub name: String,
    /// Its line in the file.
    pub line: usize,
    /// Which requests.
    pub scope: Match,
    /// There may be no such request.
    pub may_be_empty: bool,
    /// Places of states in which it must hold too.
    pub states: Vec<usize>,
    /// What may be lost beside.
    pub loss: Option<Loss>,
    /// All of these must hold.
    pub demands: Vec<Demand>,
}

/// What is demanded of requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Demand {
    /// They reach nothing but these.
    Only(Places),
    /// They reach none of these.
    Never(Places),
    /// Each goes where its class is served, or none does.
    Served(bool),
    /// What may have run is sent again no more freely than so.
    Again(Again),
    /// They are keyed in this group, in every pool.
    Group(Group),
    /// So large a share of those that one route takes goes to a pool.
    Share {
        /// The pool's name.
        pool: String,
        /// Bounds of the share, from 0 to 1.
        within: Bound,
    },
    /// A figure within bounds.
    Figure(Figure, Bound),
}

/// How freely what may have run is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Again {
    /// Never: it is unsafe wherever it may go.
    Never,
    /// At most where repeats are dropped.
    Keyed,
}

/// What is bounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Figure {
    /// Nodes of a pool that take new work.
    Nodes,
    /// Further nodes that a repeat of what a node may have run can go to; of keyed classes only.
    Mates,
    /// Attempts of a request, by the daemon's settings.
    Attempts,
    /// Open requests of a pool.
    Open,
    /// An answer's aim, in milliseconds.
    Aim,
    /// The longest that a request may take, in milliseconds.
    Deadline,
    /// A request's worth.
    Worth,
    /// For how long repeats are dropped, in milliseconds; of keyed classes only.
    Window,
}

/// Figures, by their fields in the file.
pub const FIGURES: [(&str, Figure); 8] = [
    ("nodes", Figure::Nodes),
    ("mates", Figure::Mates),
    ("attempts", Figure::Attempts),
    ("open", Figure::Open),
    ("aim_ms", Figure::Aim),
    ("deadline_ms", Figure::Deadline),
    ("worth", Figure::Worth),
    ("window_ms", Figure::Window),
];

/// Bounds, both included.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// From here on.
    pub at_least: f64,
    /// Up to here.
    pub at_most: f64,
}

/// Places that requests may come to. Of each kind that is named, one must be met; a kind that is
/// not named says nothing.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Places {
    /// Pools, by name.
    pub pools: Vec<String>,
    /// Nodes, by address.
    pub nodes: Vec<SocketAddr>,
    /// Sites.
    pub sites: Vec<String>,
    /// Blocks.
    pub blocks: Vec<u16>,
    /// Kinds of machines: the label `class` of a registry's hosts.
    pub kinds: Vec<String>,
}

impl Bound {
    /// Whether a figure is within.
    pub fn holds(&self, figure: f64) -> bool {
        figure >= self.at_least && figure <= self.at_most
    }

    /// In words.
    pub fn words(&self) -> String {
        match (self.at_least > 0.0, self.at_most < f64::MAX) {
            (true, true) => format!("from {} to {}", self.at_least, self.at_most),
            (true, false) => format!("{} at the least", self.at_least),
            _ => format!("{} at the most", self.at_most),
        }
    }
}

/// Reads and checks a file's text. `file` is its name in messages.
pub fn read(file: &str, text: &str) -> Result<Expectations, Faults> {
    reader::read(file, text, |lines, root| {
        let nodes = nodes(root);
        let states = states(root);
        let list = expectations(lines, root, &states);
        Expectations {
            file: file.to_string(),
            nodes,
            states,
            list,
        }
    })
}

fn addresses(s: &Section<'_, '_>, name: &'static str) -> Vec<SocketAddr> {
    s.items(name, "addresses and ports, such as 10.1.0.18:9000", |v| {
        v.as_str()?.parse().ok()
    })
}

fn blocks(s: &Section<'_, '_>, name: &'static str) -> Vec<u16> {
    let number = |v: &DeValue<'_>| match v {
        DeValue::Integer(i) => u16::from_str_radix(i.as_str(), i.radix()).ok(),
        _ => None,
    };
    s.items(name, "numbers of blocks", number)
}

fn nodes(root: &Section<'_, '_>) -> Vec<Node> {
    let mut nodes = Vec::new();
    for s in root.sections("node", MAX_LIST) {
        let address = s.get("address").and_then(|a| s.address(a, "address"));
        if s.get("address").is_none() {
            s.missing("address", "an address and port");
        }
        let registry = s
            .get("registry")
            .filter(|r| r.get_ref().as_str() != Some("default"));
        let registry = registry.and_then(|r| s.address(r, "registry"));
        let site = s.text("site").unwrap_or_default();
        let class = s.text("class").unwrap_or_default();
        let block = s.whole("block", 0, u32::from(u16::MAX)).unwrap_or(0) as u16;
        let takes = s.flag("takes").unwrap_or(true);
        s.end();
        let node = address.map(|address| Node {
            address,
            registry,
            site,
            class,
            block,
            takes,
        });
        if let Some(n) = node
            .as_ref()
            .filter(|n| nodes.iter().any(|o: &Node| o.address == n.address))
        {
            s.lines.fault(
                s.at,
                s.field("address"),
                format!("{} comes twice", n.address),
                "each node once",
            );
        }
        nodes.extend(node);
    }
    nodes
}

fn states(root: &Section<'_, '_>) -> Vec<State> {
    let mut names = BTreeMap::new();
    let mut states = Vec::new();
    for s in root.sections("state", MAX_LIST) {
        let name = s.name(&mut names);
        let out: BTreeSet<SocketAddr> = addresses(&s, "drains")
            .into_iter()
            .chain(addresses(&s, "gone"))
            .collect();
        let sites = s.texts("sites_gone").into_iter().collect();
        let blocks = blocks(&s, "blocks_gone").into_iter().collect();
        s.end();
        let state = State {
            name,
            nodes: out,
            sites,
            blocks,
        };
        if state.nodes.is_empty() && state.sites.is_empty() && state.blocks.is_empty() {
            s.missing(
                "drains",
                "one of `drains`, `gone`, `sites_gone` and `blocks_gone`, not empty",
            );
        }
        states.push(state);
    }
    states
}

fn expectations(lines: &Lines<'_>, root: &Section<'_, '_>, states: &[State]) -> Vec<Expectation> {
    let mut names = BTreeMap::new();
    let mut list = Vec::new();
    for s in root.sections("expect", MAX_LIST) {
        let name = s.name(&mut names);
        let scope = s.when();
        let may_be_empty = s.flag("may_be_empty").unwrap_or(false);
        let mut in_states = Vec::new();
        for state in s.texts("states") {
            match states.iter().position(|x| x.name == state) {
                Some(place) => in_states.push(place),
                None => {
                    let known: Vec<&str> = states.iter().map(|x| x.name.as_str()).collect();
                    let expected = format!("one of the [[state]] names: {}", known.join(", "));
                    lines.fault(
                        s.at,
                        s.field("states"),
                        format!("no state {state:?}"),
                        expected,
                    );
                }
            }
        }
        let loss = loss(&s);
        let demands = demands(&s);
        if demands.is_empty() {
            s.missing(
                "only",
                "something that is expected, such as `only`, `never`, `served` or `nodes`",
            );
        }
        s.end();
        list.push(Expectation {
            name,
            line: lines.line(s.at),
            scope,
            may_be_empty,
            states: in_states,
            loss,
            demands,
        });
    }
    if list.is_empty() {
        lines.fault(
            0,
            "expect",
            "is missing or empty",
            "one [[expect]] at the least",
        );
    }
    list
}

fn loss(s: &Section<'_, '_>) -> Option<Loss> {
    let table = s.table("losing")?;
    let kinds = [
        ("nodes", Kind::Node),
        ("sites", Kind::Site),
        ("blocks", Kind::Block),
    ];
    let told: Vec<Loss> = kinds
        .into_iter()
        .filter_map(|(name, kind)| {
            Some(Loss {
                kind,
                count: table.whole(name, 1, MAX_LOST)? as usize,
            })
        })
        .collect();
    table.end();
    match told.as_slice() {
        [one] => Some(*one),
        _ => {
            let expected = "one of `nodes`, `sites` and `blocks`, and how many";
            s.lines.fault(
                table.at,
                s.field("losing"),
                format!("has {} of them", told.len()),
                expected,
            );
            None
        }
    }
}

fn bound(s: &Section<'_, '_>, high: f64) -> Bound {
    let (least, most) = (
        s.number("at_least", 0.0, high),
        s.number("at_most", 0.0, high),
    );
    if s.get("at_least").is_none() && s.get("at_most").is_none() {
        s.missing("at_least", "`at_least`, `at_most` or both");
    }
    let bound = Bound {
        at_least: least.unwrap_or(0.0),
        at_most: most.unwrap_or(f64::MAX),
    };
    if bound.at_least > bound.at_most {
        let reason = format!("{} is past at_most, {}", bound.at_least, bound.at_most);
        s.lines.fault(
            s.at,
            s.field("at_least"),
            reason,
            "bounds that something can be within",
        );
    }
    bound
}

fn places(s: &Section<'_, '_>, name: &'static str) -> Option<Places> {
    let table = s.table(name)?;
    let places = Places {
        pools: table.texts("pools"),
        nodes: addresses(&table, "nodes"),
        sites: table.texts("sites"),
        blocks: blocks(&table, "blocks"),
        kinds: table.texts("kinds"),
    };
    table.end();
    if places == Places::default() {
        table.missing(
            "pools",
            "one of `pools`, `nodes`, `sites`, `blocks` and `kinds`, not empty",
        );
    }
    Some(places)
}

fn demands(s: &Section<'_, '_>) -> Vec<Demand> {
    let mut demands = Vec::new();
    demands.extend(places(s, "only").map(Demand::Only));
    demands.extend(places(s, "never").map(Demand::Never));
    demands.extend(s.flag("served").map(Demand::Served));
    if s.get("again").is_some() {
        let words = [("never", Again::Never), ("keyed", Again::Keyed)];
        demands.push(Demand::Again(s.choice(
            "again",
            &words,
            "\"never\" or \"keyed\"",
        )));
    }
    if s.get("group").is_some() {
        let words = [
            ("all", Group::All),
            ("site", Group::Site),
            ("block", Group::Block),
        ];
        demands.push(Demand::Group(s.choice(
            "group",
            &words,
            "\"all\", \"site\" or \"block\"",
        )));
    }
    for (name, figure) in FIGURES {
        if let Some(table) = s.table(name) {
            demands.push(Demand::Figure(figure, bound(&table, 1e9)));
            table.end();
        }
    }
    for share in s.sections("share", 64) {
        let pool = share.text("pool");
        if pool.is_none() {
            share.missing("pool", "a pool's name");
        }
        let within = bound(&share, 1.0);
        share.end();
        demands.push(Demand::Share {
            pool: pool.unwrap_or_default(),
            within,
        });
    }
    demands
}
