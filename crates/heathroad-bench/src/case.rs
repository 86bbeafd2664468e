//! What is sent, and how it is answered.

use std::net::SocketAddr;

/// A kind of requests.
pub struct Case {
    /// Its name.
    pub name: &'static str,
    /// What it is.
    pub about: &'static str,
    /// What callers do.
    pub way: Way,
    /// The class: `look` is safe, `keep` keyed, `once` unsafe.
    pub class: &'static str,
    /// Bytes in a request's body.
    pub asks: usize,
    /// Bytes in an answer's.
    pub answers: usize,
    /// A backend turns each request away the first time.
    pub declines: bool,
    /// The daemon serves by a file of routes.
    pub routes: bool,
    /// It keeps budgets.
    pub budget: bool,
    /// It is one of a fleet, and keeps a record of its acts.
    pub fleet: bool,
}

/// How callers go about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// One request after another on a kept connection.
    Kept,
    /// A connection for each request.
    Fresh,
    /// The same, and left as soon as the request is written.
    HangUp,
    /// Calls over JSON-RPC on a kept connection.
    Rpc,
}

const PLAIN: Case = Case {
    name: "get",
    about: "GET, a few bytes in answer",
    way: Way::Kept,
    class: "look",
    asks: 0,
    answers: 16,
    declines: false,
    routes: false,
    budget: false,
    fleet: false,
};

/// All of them.
pub const ALL: &[Case] = &[
    PLAIN,
    Case {
        name: "get-1k",
        about: "GET, 1 KiB in answer",
        answers: 1024,
        ..PLAIN
    },
    Case {
        name: "get-64k",
        about: "GET, 64 KiB in answer",
        answers: 64 * 1024,
        ..PLAIN
    },
    Case {
        name: "post-1k",
        about: "POST of 1 KiB",
        class: "once",
        asks: 1024,
        ..PLAIN
    },
    Case {
        name: "post-64k",
        about: "POST of 64 KiB",
        class: "once",
        asks: 64 * 1024,
        ..PLAIN
    },
    Case {
        name: "keyed",
        about: "POST of 1 KiB with a key",
        class: "keep",
        asks: 1024,
        ..PLAIN
    },
    Case {
        name: "resent",
        about: "GET, declined once and sent to another",
        declines: true,
        ..PLAIN
    },
    Case {
        name: "fresh",
        about: "GET on a connection of its own",
        way: Way::Fresh,
        ..PLAIN
    },
    Case {
        name: "hang-up",
        about: "GET, left before its answer",
        way: Way::HangUp,
        ..PLAIN
    },
    Case {
        name: "routes",
        about: "GET by a file of routes",
        routes: true,
        ..PLAIN
    },
    Case {
        name: "budget",
        about: "GET with budgets kept",
        budget: true,
        ..PLAIN
    },
    Case {
        name: "fleet",
        about: "GET with a record of acts kept",
        fleet: true,
        ..PLAIN
    },
    Case {
        name: "json-rpc",
        about: "a call over JSON-RPC",
        way: Way::Rpc,
        routes: true,
        ..PLAIN
    },
];

impl Case {
    /// Whether the yardstick can do it: it only passes on.
    pub fn bare(&self) -> bool {
        self.way != Way::Rpc && !self.declines
    }

    /// A request, with a number of its own, that is waited for so long: milliseconds.
    pub fn request(&self, number: u64, wait_ms: u64, out: &mut Vec<u8>) {
        use std::io::Write;
        out.clear();
        // Writing to memory does not fail.
        let _ = match self.way {
            Way::Rpc => {
                writeln!(
                    out,
                    "{{\"jsonrpc\":\"2.0\",\"method\":\"look\",\"params\":{{}},\"id\":{number}}}"
                )
            }
            _ => {
                let method = if self.class == "look" { "GET" } else { "POST" };
                let _ = write!(
                    out,
                    "{method} /{}?k=7f3a HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {number:016x}\r\nReq-Owner: acme\r\n\
                     Req-Deadline-Ms: {wait_ms}\r\n",
                    self.class
                );
                if self.class == "keep" {
                    let _ = write!(out, "Idempotency-Key: {number:016x}\r\n");
                }
                if self.class != "look" {
                    let _ = write!(out, "Content-Length: {}\r\n", self.asks);
                }
                let _ = out.write_all(b"\r\n");
                out.write_all(&vec![b'x'; self.asks])
            }
        };
    }

    /// The file of routes, where the case has one.
    pub fn routes(&self, nodes: &[SocketAddr]) -> Option<String> {
        let nodes: Vec<String> = nodes.iter().map(|n| format!("\"{n}\"")).collect();
        let class = |name: &str, effect: &str| {
            format!(
                "[[pool.class]]\nname = \"{name}\"\n{effect}\naim_ms = 20000\ndeadline_ms = 60000\n"
            )
        };
        let listener = "[[listener]]\nname = \"calls\"\nlisten = \"127.0.0.1:0\"\nprotocol = \"json-rpc\"\n\
             tenant = \"acme\"\n[[listener.method]]\nname = \"look\"\nclass = \"look\"\n";
        let rpc = self.way == Way::Rpc;
        self.routes.then(|| {
            format!(
                "[[pool]]\nname = \"p\"\nbackends = [{}]\n{}{}{}{}[[route]]\nname = \"all\"\npool = \"p\"\n{}",
                nodes.join(", "),
                if rpc { "rpc = {}\n" } else { "" },
                class("look", "effect = \"safe\""),
                class("keep", "effect = \"keyed\"\ngroup = \"all\"\nwindow_ms = 60000"),
                class("once", "effect = \"unsafe\""),
                if rpc { listener } else { "" },
            )
        })
    }
}
