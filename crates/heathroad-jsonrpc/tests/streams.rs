//! Splitting of byte streams into texts: independent of how the bytes are chunked, and within the
//! limits for any input.

use bytes::{BufMut, Bytes, BytesMut};
use heathroad_jsonrpc::framing::{Decoder, Framing, FramingError, Limits};
use heathroad_jsonrpc::{message, write};
use serde::de::IgnoredAny;

const FRAMINGS: [Framing; 3] = [Framing::Lines, Framing::Headers, Framing::Concatenated];
const SMALL_LIMITS: Limits = Limits {
    max_text_bytes: 200,
    max_depth: 8,
    max_batch_len: 10,
};

/// Decodes a stream in chunks of the given sizes, used in rotation. Returns its texts and error.
fn decode(
    framing: Framing,
    limits: Limits,
    bytes: &[u8],
    chunk_sizes: &[usize],
) -> (Vec<Bytes>, Option<FramingError>) {
    let (mut decoder, mut texts) = (Decoder::new(framing, limits), Vec::new());
    let (mut rest, mut chunks) = (bytes, 0);
    loop {
        match decoder.next_text() {
            Ok(Some(text)) => texts.push(text),
            Err(error) => return (texts, Some(error)),
            Ok(None) if rest.is_empty() => return (texts, None),
            Ok(None) => {
                let size = chunk_sizes[chunks % chunk_sizes.len()].clamp(1, rest.len());
                decoder.buffer().put_slice(&rest[..size]);
                (rest, chunks) = (&rest[size..], chunks + 1);
            }
        }
    }
}

fn encode(framing: Framing, texts: &[&str]) -> Vec<u8> {
    let mut out = BytesMut::new();
    texts
        .iter()
        .for_each(|text| write::frame(framing, text.as_bytes(), &mut out));
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
fn texts_are_decoded_from_chunks_of_any_size() {
    for framing in FRAMINGS {
        let bytes = encode(framing, &TEXTS);
        for first in 1..=bytes.len() {
            for second in [1, 2, 7, bytes.len()] {
                let (texts, error) = decode(framing, SMALL_LIMITS, &bytes, &[first, second]);
                assert_eq!(
                    (texts, error),
                    (TEXTS.map(Bytes::from).to_vec(), None),
                    "{framing:?} {first} {second}"
                );
            }
        }
    }
    // A line feed between tokens must not end the line.
    assert_eq!(encode(Framing::Lines, &["{\n\"a\":1}"]), b"{ \"a\":1}\n");
}

#[test]
fn whitespace_and_byte_order_marks_are_ignored() {
    let texts = |framing, bytes: &str| decode(framing, SMALL_LIMITS, bytes.as_bytes(), &[1]);
    assert_eq!(
        texts(Framing::Lines, "\r\n\n  {}\r\n\n[]\n {"),
        (vec!["{}\r".into(), "[]".into()], None)
    );
    assert_eq!(
        texts(Framing::Concatenated, "\u{feff} {}[]\n\t{} {"),
        (vec!["{}".into(), "[]".into(), "{}".into()], None)
    );
    let with_headers =
        "\r\ncontent-LENGTH: 2\r\nContent-Type: x; y\r\n\r\n{}\r\nContent-Length:3\n\n[1]";
    assert_eq!(
        texts(Framing::Headers, with_headers),
        (vec!["{}".into(), "[1]".into()], None)
    );
    let mut decoder = Decoder::new(Framing::Lines, SMALL_LIMITS);
    decoder.buffer().put_slice(b" \n");
    assert!(!decoder.has_pending_text());
    decoder.buffer().put_slice(b"{}");
    assert!(decoder.has_pending_text());
    assert_eq!(
        (decoder.next_text(), decoder.finish()),
        (Ok(None), Some("{}".into())),
        "the last line needs no line feed"
    );
    assert_eq!(decoder.finish(), None);
}

#[test]
fn framing_errors_are_reported_and_final() {
    let long = format!("\"{}\"", "x".repeat(500));
    let deep = "[".repeat(9);
    let with_header = |header: &str| format!("{header}\r\n\r\n{{}}");
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
            with_header("Content-Length: 1000000000"),
            FramingError::TooLong,
        ),
        (
            Framing::Headers,
            with_header("Content-Length: 99999999999999999999"),
            FramingError::InvalidHeader("a Content-Length in decimal digits"),
        ),
        (
            Framing::Headers,
            with_header("Content-Length: -2"),
            FramingError::InvalidHeader("a Content-Length in decimal digits"),
        ),
        (
            Framing::Headers,
            with_header("Content-Length: +2"),
            FramingError::InvalidHeader("a Content-Length in decimal digits"),
        ),
        (
            Framing::Headers,
            with_header("Content-Length:"),
            FramingError::InvalidHeader("a Content-Length in decimal digits"),
        ),
        (
            Framing::Headers,
            with_header("Content-Length: 2\r\nContent-Length: 2"),
            FramingError::InvalidHeader("one Content-Length"),
        ),
        (
            Framing::Headers,
            with_header("Content-Length : 2"),
            FramingError::InvalidHeader("`Name: value` lines"),
        ),
        (
            Framing::Headers,
            with_header("noise"),
            FramingError::InvalidHeader("`Name: value` lines"),
        ),
        (
            Framing::Headers,
            with_header("X: y"),
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
    for (framing, bytes, expected) in cases {
        for size in [1, 3, 100_000] {
            let (_, error) = decode(framing, SMALL_LIMITS, bytes.as_bytes(), &[size]);
            assert_eq!(error, Some(expected), "{framing:?} {bytes:.60}");
        }
    }
    let mut decoder = Decoder::new(Framing::Concatenated, SMALL_LIMITS);
    decoder.buffer().put_slice(b"x{}");
    assert_eq!(decoder.next_text(), Err(FramingError::NotObjectOrArray));
    decoder.buffer().put_slice(b"{}");
    assert_eq!(
        decoder.next_text(),
        Err(FramingError::NotObjectOrArray),
        "the start of the next text is unknown"
    );
}

/// Mutates the corpus and guards against panics, results that depend on chunk sizes, texts over the
/// limit, and parse errors for valid JSON.
#[test]
fn mutated_streams() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("the corpus folder")
        .map(|entry| entry.expect("a folder entry").path())
        .collect();
    files.sort();
    let corpus: Vec<Vec<u8>> = files
        .iter()
        .map(|file| std::fs::read(file).expect("a readable file"))
        .collect();
    assert!(corpus.len() >= 10);
    let (mut texts, mut calls, mut errors) = (0, 0, 0);
    for seed in 0..10_000u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut bytes = Vec::new();
        for _ in 0..1 + rng.usize(..6) {
            let file = &corpus[rng.usize(..corpus.len())];
            let start = if rng.bool() {
                0
            } else {
                rng.usize(..=file.len())
            };
            bytes.extend_from_slice(&file[start..]);
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
        let framing = FRAMINGS[rng.usize(..3)];
        let limits = Limits {
            max_text_bytes: 1 + rng.usize(..2_000),
            max_depth: 1 + rng.u32(..20),
            max_batch_len: 10,
        };
        let chunk_sizes: Vec<usize> = (0..5).map(|_| 1 + rng.usize(..50)).collect();
        let (decoded, error) = decode(framing, limits, &bytes, &[bytes.len().max(1)]);
        let in_chunks = decode(framing, limits, &bytes, &chunk_sizes);
        assert_eq!(
            (&decoded, error),
            (&in_chunks.0, in_chunks.1),
            "seed {seed}"
        );
        errors += usize::from(error.is_some());
        for text in decoded {
            assert!(text.len() <= limits.max_text_bytes, "seed {seed}");
            texts += 1;
            let is_json = serde_json::from_slice::<IgnoredAny>(
                text.strip_prefix(b"\xef\xbb\xbf").unwrap_or(&text),
            )
            .is_ok()
                && std::str::from_utf8(&text).is_ok();
            match message::parse(&text, 10) {
                Ok(message::Message::Single(Err(error))) | Err(error)
                    if error.code == message::PARSE_ERROR =>
                {
                    assert!(!is_json, "seed {seed}: {text:?}");
                }
                Ok(message::Message::Single(Ok(call))) => {
                    assert!(is_json, "seed {seed}: {text:?}");
                    let mut out = BytesMut::new();
                    write::call(Some(1), &call.raw_method, call.params.as_deref(), &mut out);
                    let reparsed = message::parse_call(&out.freeze()).expect("a valid call");
                    assert_eq!(
                        (reparsed.method, reparsed.params),
                        (call.method, call.params),
                        "seed {seed}"
                    );
                    calls += 1;
                }
                Ok(message::Message::Batch(members)) => {
                    assert!(is_json && members.len() <= 10, "seed {seed}: {text:?}");
                    members
                        .iter()
                        .for_each(|member| drop(message::parse_call(member)));
                }
                _ => {}
            }
            let _ = message::parse_server_message(&text);
        }
    }
    assert!(
        texts > 10_000 && calls > 2_000 && errors > 1_000,
        "{texts} texts, {calls} calls, {errors} errors"
    );
}

/// Measures the throughput of decoding and parsing against that of `serde_json` alone. Run in
/// release with `--ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn throughput() {
    let call = |n: usize| {
        format!(
            r#"{{"jsonrpc":"2.0","method":"claims.submit","params":{{"claim":"c-{n}","tenant":"sahel-agro","amount":{n}.10,"lines":[{{"code":"A1","sum":1e2}},{{"code":"B2","sum":12345678901234567890.01}}],"note":"{}"}},"id":{n}}}"#,
            "x".repeat(n % 300)
        )
    };
    let texts: Vec<String> = (0..20_000).map(call).collect();
    let text_slices: Vec<&str> = texts.iter().map(String::as_str).collect();
    let mut bytes = [0; 3].map(|_| 0);
    for round in 0..3 {
        let started = std::time::Instant::now();
        let parsed: usize = texts
            .iter()
            .map(|text| usize::from(serde_json::from_str::<IgnoredAny>(text).is_ok()))
            .sum();
        let baseline_s = started.elapsed().as_secs_f64();
        assert_eq!(parsed, texts.len());
        for (n, framing) in FRAMINGS.into_iter().enumerate() {
            let stream = encode(framing, &text_slices);
            bytes[n] = stream.len();
            let started = std::time::Instant::now();
            let (decoded, _) = decode(framing, Limits::default(), &stream, &[16 * 1024]);
            let calls = decoded
                .iter()
                .filter(|text| message::parse_call(text).is_ok())
                .count();
            let elapsed_s = started.elapsed().as_secs_f64();
            assert_eq!(calls, texts.len());
            let megabytes = stream.len() as f64 / 1e6;
            println!(
                "round {round} {framing:?}: {:.0} MB/s; serde_json alone {:.0} MB/s",
                megabytes / elapsed_s,
                megabytes / baseline_s
            );
        }
    }
}
