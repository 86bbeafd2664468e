//! Streams of bytes: cut into texts whatever the pieces they come in, bounded whatever comes.

use bytes::{BufMut, Bytes, BytesMut};
use heathroad_jsonrpc::framing::{Decoder, Framing, FramingError, Limits};
use heathroad_jsonrpc::{message, write};
use serde::de::IgnoredAny;

const ALL: [Framing; 3] = [Framing::Lines, Framing::Headers, Framing::Concatenated];
const SMALL: Limits = Limits {
    max_text_bytes: 200,
    max_depth: 8,
    max_batch_len: 10,
};

/// The texts of a stream that comes in pieces of these sizes, by turns, and how it broke.
fn cut(
    framing: Framing,
    limits: Limits,
    bytes: &[u8],
    sizes: &[usize],
) -> (Vec<Bytes>, Option<FramingError>) {
    let (mut decoder, mut texts) = (Decoder::new(framing, limits), Vec::new());
    let (mut rest, mut turn) = (bytes, 0);
    loop {
        match decoder.next_text() {
            Ok(Some(text)) => texts.push(text),
            Err(broken) => return (texts, Some(broken)),
            Ok(None) if rest.is_empty() => return (texts, None),
            Ok(None) => {
                let (now, later) = rest.split_at(sizes[turn % sizes.len()].clamp(1, rest.len()));
                decoder.buffer().put_slice(now);
                (rest, turn) = (later, turn + 1);
            }
        }
    }
}

fn framed(framing: Framing, texts: &[&str]) -> Vec<u8> {
    let mut out = BytesMut::new();
    texts
        .iter()
        .for_each(|t| write::frame(framing, t.as_bytes(), &mut out));
    out.to_vec()
}

const TEXTS: [&str; 5] = [
    r#"{"a":"}]\"{"}"#,
    "[]",
    r#"[[1],"\\"]"#,
    "{}",
    r#"{"b":"\\\"","c":[{}]}"#,
];

#[test]
fn texts_come_out_whole_in_pieces_of_any_size() {
    for framing in ALL {
        let bytes = framed(framing, &TEXTS);
        for first in 1..=bytes.len() {
            for second in [1, 2, 7, bytes.len()] {
                let (texts, broken) = cut(framing, SMALL, &bytes, &[first, second]);
                assert_eq!(
                    (texts, broken),
                    (TEXTS.map(Bytes::from).to_vec(), None),
                    "{framing:?} {first} {second}"
                );
            }
        }
    }
    // Line feeds within a text, which mean nothing, do not end its line.
    assert_eq!(framed(Framing::Lines, &["{\n\"a\":1}"]), b"{ \"a\":1}\n");
}

#[test]
fn what_says_nothing_is_passed_over() {
    let texts = |framing, bytes: &str| cut(framing, SMALL, bytes.as_bytes(), &[1]);
    assert_eq!(
        texts(Framing::Lines, "\r\n\n  {}\r\n\n[]\n {"),
        (vec!["{}\r".into(), "[]".into()], None)
    );
    assert_eq!(
        texts(Framing::Concatenated, "\u{feff} {}[]\n\t{} {"),
        (vec!["{}".into(), "[]".into(), "{}".into()], None)
    );
    let heads = "\r\ncontent-LENGTH: 2\r\nContent-Type: x; y\r\n\r\n{}\r\nContent-Length:3\n\n[1]";
    assert_eq!(
        texts(Framing::Headers, heads),
        (vec!["{}".into(), "[1]".into()], None)
    );
    let mut decoder = Decoder::new(Framing::Lines, SMALL);
    decoder.buffer().put_slice(b" \n");
    assert!(!decoder.has_pending_text());
    decoder.buffer().put_slice(b"{}");
    assert!(decoder.has_pending_text());
    assert_eq!(
        (decoder.next_text(), decoder.finish()),
        (Ok(None), Some("{}".into())),
        "the last line needs no end"
    );
    assert_eq!(decoder.finish(), None);
}

#[test]
fn a_stream_that_cannot_be_cut_is_told_and_stays_broken() {
    let long = format!("\"{}\"", "x".repeat(500));
    let deep = "[".repeat(9);
    let head = |h: &str| format!("{h}\r\n\r\n{{}}");
    let cases = [
        (Framing::Lines, long.clone(), FramingError::TooLong),
        (Framing::Lines, deep.clone(), FramingError::TooDeep),
        (
            Framing::Concatenated,
            format!("[{long}]"),
            FramingError::TooLong,
        ),
        (Framing::Concatenated, deep.clone(), FramingError::TooDeep),
        (
            Framing::Concatenated,
            "{} 1".into(),
            FramingError::NotObjectOrArray,
        ),
        (
            Framing::Concatenated,
            "}".into(),
            FramingError::NotObjectOrArray,
        ),
        (
            Framing::Headers,
            format!("Content-Length: 9\r\n\r\n{deep}"),
            FramingError::TooDeep,
        ),
        (
            Framing::Headers,
            head("Content-Length: 1000000000"),
            FramingError::TooLong,
        ),
        (
            Framing::Headers,
            head("Content-Length: 99999999999999999999"),
            FramingError::InvalidHeader("a Content-Length in decimal digits"),
        ),
        (
            Framing::Headers,
            head("Content-Length: -2"),
            FramingError::InvalidHeader("a Content-Length in decimal digits"),
        ),
        (
            Framing::Headers,
            head("Content-Length: +2"),
            FramingError::InvalidHeader("a Content-Length in decimal digits"),
        ),
        (
            Framing::Headers,
            head("Content-Length:"),
            FramingError::InvalidHeader("a Content-Length in decimal digits"),
        ),
        (
            Framing::Headers,
            head("Content-Length: 2\r\nContent-Length: 2"),
            FramingError::InvalidHeader("one Content-Length"),
        ),
        (
            Framing::Headers,
            head("Content-Length : 2"),
            FramingError::InvalidHeader("`Name: value` lines"),
        ),
        (
            Framing::Headers,
            head("noise"),
            FramingError::InvalidHeader("`Name: value` lines"),
        ),
        (
            Framing::Headers,
            head("X: y"),
            FramingError::InvalidHeader("a Content-Length"),
        ),
        (
            Framing::Headers,
            "X: y\r\n".repeat(1000),
            FramingError::InvalidHeader("a head of 4 KiB at most"),
        ),
        (
            Framing::Headers,
            "x".repeat(10_000),
            FramingError::InvalidHeader("a head of 4 KiB at most"),
        ),
    ];
    for (framing, bytes, want) in cases {
        for size in [1, 3, 100_000] {
            let (_, broken) = cut(framing, SMALL, bytes.as_bytes(), &[size]);
            assert_eq!(broken, Some(want), "{framing:?} {bytes:.60}");
        }
    }
    let mut decoder = Decoder::new(Framing::Concatenated, SMALL);
    decoder.buffer().put_slice(b"x{}");
    assert_eq!(decoder.next_text(), Err(FramingError::NotObjectOrArray));
    decoder.buffer().put_slice(b"{}");
    assert_eq!(
        decoder.next_text(),
        Err(FramingError::NotObjectOrArray),
        "it is not known where that is"
    );
}

/// 10,000 hostile streams, made of the corpus by cuts, repeats, flips and joins: nothing panics,
/// pieces decide nothing, nothing longer than the bound comes out, and what is called no JSON is
/// none.
#[test]
fn hostile_streams() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("it is there")
        .map(|f| f.expect("read").path())
        .collect();
    files.sort();
    let corpus: Vec<Vec<u8>> = files
        .iter()
        .map(|f| std::fs::read(f).expect("a file"))
        .collect();
    assert!(corpus.len() >= 10);
    let (mut texts_seen, mut calls, mut breaks) = (0, 0, 0);
    for seed in 0..10_000u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut bytes = Vec::new();
        for _ in 0..1 + rng.usize(..6) {
            let part = &corpus[rng.usize(..corpus.len())];
            let from = if rng.bool() {
                0
            } else {
                rng.usize(..=part.len())
            };
            bytes.extend_from_slice(&part[from..]);
        }
        for _ in 0..rng.usize(..4) {
            if bytes.is_empty() {
                break;
            }
            let at = rng.usize(..bytes.len());
            match rng.u8(..4) {
                0 => bytes[at] ^= 1 << rng.u8(..8),
                1 => bytes.truncate(at),
                2 => bytes.insert(at, b"{}[]\",:\\\n\0"[rng.usize(..10)]),
                _ => drop(bytes.remove(at)),
            }
        }
        let framing = ALL[rng.usize(..3)];
        let limits = Limits {
            max_text_bytes: 1 + rng.usize(..2_000),
            max_depth: 1 + rng.u32(..20),
            max_batch_len: 10,
        };
        let sizes: Vec<usize> = (0..5).map(|_| 1 + rng.usize(..50)).collect();
        let whole = cut(framing, limits, &bytes, &[bytes.len().max(1)]);
        assert_eq!(whole, cut(framing, limits, &bytes, &sizes), "seed {seed}");
        breaks += usize::from(whole.1.is_some());
        for text in whole.0 {
            assert!(text.len() <= limits.max_text_bytes, "seed {seed}");
            texts_seen += 1;
            let json = serde_json::from_slice::<IgnoredAny>(
                text.strip_prefix(b"\xef\xbb\xbf").unwrap_or(&text),
            )
            .is_ok()
                && std::str::from_utf8(&text).is_ok();
            match message::parse(&text, 10) {
                Ok(message::Message::Single(Err(wrong))) | Err(wrong)
                    if wrong.code == message::PARSE_ERROR =>
                {
                    assert!(!json, "seed {seed}: {text:?}");
                }
                Ok(message::Message::Single(Ok(call))) => {
                    assert!(json, "seed {seed}: {text:?}");
                    let mut out = BytesMut::new();
                    write::call(Some(1), &call.raw_method, call.params.as_deref(), &mut out);
                    let again =
                        message::parse_call(&out.freeze()).expect("what is written can be read");
                    assert_eq!(
                        (again.method, again.params),
                        (call.method, call.params),
                        "seed {seed}"
                    );
                    calls += 1;
                }
                Ok(message::Message::Batch(members)) => {
                    assert!(json && members.len() <= 10, "seed {seed}: {text:?}");
                    members.iter().for_each(|m| drop(message::parse_call(m)));
                }
                _ => {}
            }
            let _ = message::parse_server_message(&text);
        }
    }
    assert!(
        texts_seen > 10_000 && calls > 2_000 && breaks > 1_000,
        "{texts_seen} {calls} {breaks}"
    );
}

/// A measurement and no test: bytes a second beside a bare parse by the same library. Run in
/// release with `--ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn throughput() {
    let claim = |n: usize| {
        format!(
            r#"{{"jsonrpc":"2.0","method":"claims.submit","params":{{"claim":"c-{n}","tenant":"sahel-agro","amount":{n}.10,"lines":[{{"code":"A1","sum":1e2}},{{"code":"B2","sum":12345678901234567890.01}}],"note":"{}"}},"id":{n}}}"#,
            "x".repeat(n % 300)
        )
    };
    let texts: Vec<String> = (0..20_000).map(claim).collect();
    let list: Vec<&str> = texts.iter().map(String::as_str).collect();
    let mut bytes = [0; 3].map(|_| 0);
    for round in 0..3 {
        let begun = std::time::Instant::now();
        let parsed: usize = texts
            .iter()
            .map(|t| usize::from(serde_json::from_str::<IgnoredAny>(t).is_ok()))
            .sum();
        let bare = begun.elapsed().as_secs_f64();
        assert_eq!(parsed, texts.len());
        for (n, framing) in ALL.into_iter().enumerate() {
            let stream = framed(framing, &list);
            bytes[n] = stream.len();
            let begun = std::time::Instant::now();
            let (cut, _) = cut(framing, Limits::default(), &stream, &[16 * 1024]);
            let calls = cut
                .iter()
                .filter(|t| message::parse_call(t).is_ok())
                .count();
            let took = begun.elapsed().as_secs_f64();
            assert_eq!(calls, texts.len());
            let mb = stream.len() as f64 / 1e6;
            println!(
                "round {round} {framing:?}: {:.0} MB/s; bare parse {:.0} MB/s",
                mb / took,
                mb / bare
            );
        }
    }
}
