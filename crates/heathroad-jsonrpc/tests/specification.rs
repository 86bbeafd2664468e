//! The examples of the specification (section 7), and malformed or ambiguous envelopes.

use bytes::{Bytes, BytesMut};
use heathroad_jsonrpc::message::{self, Message, ServerMessage};
use heathroad_jsonrpc::{Call, Pointer, RequestError, pointer, write};

fn parse(text: &'static str) -> Result<Message, RequestError> {
    message::parse(&Bytes::from_static(text.as_bytes()), 10)
}

fn parse_single(text: &'static str) -> Result<Call, RequestError> {
    match parse(text)? {
        Message::Single(call) => call,
        Message::Batch(members) => panic!("unexpected batch of {} calls", members.len()),
    }
}

fn parse_batch(text: &'static str) -> Vec<Result<Call, RequestError>> {
    match parse(text) {
        Ok(Message::Batch(members)) => members.iter().map(message::parse_call).collect(),
        other => panic!("expected a batch, got {other:?}"),
    }
}

fn code_and_id<T>(result: Result<T, RequestError>) -> (i64, Bytes) {
    let error = result.err().expect("an error");
    (error.code, error.id)
}

#[track_caller]
fn assert_call(text: &'static str, id: Option<&str>, method: &str, params: Option<&str>) {
    let call = parse_single(text).expect("a valid call");
    assert_eq!(call.id.as_deref(), id.map(str::as_bytes));
    assert_eq!(
        (call.method.as_str(), call.params.as_deref()),
        (method, params.map(str::as_bytes))
    );
}

#[test]
fn calls_and_notifications() {
    let text = r#"{"jsonrpc": "2.0", "method": "subtract", "params": [42, 23], "id": 1}"#;
    assert_call(text, Some("1"), "subtract", Some("[42, 23]"));
    let text = r#"{"jsonrpc": "2.0", "method": "subtract", "params": {"subtrahend": 23, "minuend": 42}, "id": 3}"#;
    assert_call(
        text,
        Some("3"),
        "subtract",
        Some(r#"{"subtrahend": 23, "minuend": 42}"#),
    );
    assert_call(
        r#"{"jsonrpc": "2.0", "method": "update", "params": [1,2,3,4,5]}"#,
        None,
        "update",
        Some("[1,2,3,4,5]"),
    );
    assert_call(
        r#"{"jsonrpc": "2.0", "method": "foobar"}"#,
        None,
        "foobar",
        None,
    );
    assert_call(
        r#"{"jsonrpc": "2.0", "method": "foobar", "id": "1"}"#,
        Some("\"1\""),
        "foobar",
        None,
    );
}

#[test]
fn errors_of_the_specification() {
    let null = Bytes::from_static(b"null");
    assert_eq!(
        code_and_id(parse_single(
            r#"{"jsonrpc": "2.0", "method": "foobar, "params": "bar", "baz]"#
        )),
        (-32700, null.clone())
    );
    assert_eq!(
        code_and_id(parse_single(
            r#"{"jsonrpc": "2.0", "method": 1, "params": "bar"}"#
        )),
        (-32600, null.clone())
    );
    let truncated = r#"[{"jsonrpc": "2.0", "method": "sum", "params": [1,2,4], "id": "1"}, {"jsonrpc": "2.0", "method"]"#;
    assert_eq!(code_and_id(parse(truncated)), (-32700, null.clone()));
    assert_eq!(code_and_id(parse("[]")), (-32600, null.clone()));
    assert_eq!(
        parse_batch("[1]")
            .into_iter()
            .map(code_and_id)
            .collect::<Vec<_>>(),
        [(-32600, null.clone())]
    );
    assert_eq!(
        parse_batch("[1,2,3]")
            .into_iter()
            .map(code_and_id)
            .collect::<Vec<_>>(),
        vec![(-32600, null); 3]
    );
}

#[test]
fn batch_of_calls_notifications_and_invalid_members() {
    let calls = parse_batch(
        r#"[
        {"jsonrpc": "2.0", "method": "sum", "params": [1,2,4], "id": "1"},
        {"jsonrpc": "2.0", "method": "notify_hello", "params": [7]},
        {"jsonrpc": "2.0", "method": "subtract", "params": [42,23], "id": "2"},
        {"foo": "boo"},
        {"jsonrpc": "2.0", "method": "foo.get", "params": {"name": "myself"}, "id": "5"},
        {"jsonrpc": "2.0", "method": "get_data", "id": "9"}
    ]"#,
    );
    let ids: Vec<Option<Bytes>> = calls
        .iter()
        .map(|call| call.as_ref().ok().and_then(|call| call.id.clone()))
        .collect();
    let id = |id: &'static str| Some(Bytes::from_static(id.as_bytes()));
    assert_eq!(
        ids,
        [
            id("\"1\""),
            None,
            id("\"2\""),
            None,
            id("\"5\""),
            id("\"9\"")
        ]
    );
    assert_eq!(calls[3].clone().err().map(|error| error.code), Some(-32600));
    assert!(calls[1].is_ok(), "a notification is valid");
    assert_eq!(
        code_and_id(parse("[1,2,3,4,5,6,7,8,9,10,11]")).0,
        -32600,
        "a batch over the limit"
    );
}

/// Guards against decoding ids and numbers, which would lose precision or the order of names.
#[test]
fn values_are_forwarded_byte_for_byte() {
    for id in [
        "1",
        "1.0",
        "\"1\"",
        "null",
        "-0",
        "1e2",
        "123456789012345678901234567890",
        "0.30",
        r#""\ud800""#,
    ] {
        let text =
            format!(r#"{{"id":{id},"params":{{"z":1.10,"a":1e2}},"method":"m","jsonrpc":"2.0"}}"#);
        let Ok(Message::Single(Ok(call))) = message::parse(&Bytes::from(text.clone()), 1) else {
            panic!("{text}")
        };
        assert_eq!(call.id.as_deref(), Some(id.as_bytes()));
        assert_eq!(call.params.as_deref(), Some(&br#"{"z":1.10,"a":1e2}"#[..]));
        let mut out = BytesMut::new();
        write::response(
            id.as_bytes(),
            br#""result":12345678901234567890.01"#,
            &mut out,
        );
        assert_eq!(
            out,
            format!(r#"{{"jsonrpc":"2.0","result":12345678901234567890.01,"id":{id}}}"#)
        );
    }
    let params = r#"[1.10, 1e2,	12345678901234567890.01, "\u0041\ud800", {"b":0,"a":0,"b":1}]"#;
    let text = Bytes::from(format!(
        r#"{{"jsonrpc":"2.0","method":"m","params":{params}}}"#
    ));
    let call = message::parse_call(&text).expect("a valid call");
    let mut out = BytesMut::new();
    write::call(Some(7), &call.raw_method, call.params.as_deref(), &mut out);
    assert_eq!(
        out,
        format!(r#"{{"jsonrpc":"2.0","method":"m","params":{params},"id":7}}"#)
    );
}

#[test]
fn ambiguous_or_malformed_envelopes_are_rejected() {
    for (text, expected_code, id) in [
        (
            r#"{"jsonrpc":"2.0","method":"a","id":1,"id":2}"#,
            -32600,
            "null",
        ),
        (
            r#"{"jsonrpc":"2.0","method":"a","method":"b","id":1}"#,
            -32600,
            "null",
        ),
        (
            r#"{"jsonrpc":"2.0","method":"a","params":[1],"params":[2],"id":1}"#,
            -32600,
            "null",
        ),
        (
            r#"{"jsonrpc":"2.0","method":"a","id":1,"\u0069d":2}"#,
            -32600,
            "null",
        ),
        (
            r#"{"jsonrpc":"2.0","method":"a","id":true}"#,
            -32600,
            "null",
        ),
        (r#"{"jsonrpc":"2.0","method":"a","id":[1]}"#, -32600, "null"),
        (r#"{"jsonrpc":"1.0","method":"a","id":4}"#, -32600, "4"),
        (r#"{"method":"a","id":"x"}"#, -32600, "\"x\""),
        (r#"{"jsonrpc":"2.0","id":5}"#, -32600, "5"),
        (
            r#"{"jsonrpc":"2.0","method":"a","params":"text","id":5}"#,
            -32600,
            "5",
        ),
        (
            r#"{"jsonrpc":"2.0","method":"a","params":true,"id":5}"#,
            -32600,
            "5",
        ),
        (r#"{"jsonrpc":"2.0","method":"\ud800","id":5}"#, -32600, "5"),
        (
            r#"{"jsonrpc":"2.0","method":"a","result":1,"id":5}"#,
            -32600,
            "5",
        ),
        (
            r#"{"jsonrpc":"2.0","method":"a","id":5} {}"#,
            -32700,
            "null",
        ),
        (
            "{\"jsonrpc\":\"2.0\",\"method\":\"a\",\"params\u{0}\":[],\"id\":5}",
            -32700,
            "null",
        ),
        (
            "{\"jsonrpc\":\"2.0\",\"method\":\"a\u{0}\",\"id\":5}",
            -32700,
            "null",
        ),
        ("\"text\"", -32600, "null"),
        ("nothing", -32700, "null"),
        ("", -32700, "null"),
    ] {
        assert_eq!(
            code_and_id(parse_single(text)),
            (expected_code, Bytes::from_static(id.as_bytes())),
            "{text}"
        );
    }
    let invalid = Bytes::from_static(b"{\"jsonrpc\":\"2.0\",\"method\":\"\xff\",\"id\":5}");
    assert_eq!(
        code_and_id(message::parse(&invalid, 1)).0,
        -32700,
        "invalid UTF-8"
    );
    // A byte order mark and unknown members are ignored, even a name with an unpaired surrogate.
    let with_mark =
        Bytes::from("\u{feff}{\"jsonrpc\":\"2.0\",\"method\":\"a\",\"\\ud800\":1}".to_string());
    assert!(matches!(
        message::parse(&with_mark, 1),
        Ok(Message::Single(Ok(_)))
    ));
    // Deep nesting must not overflow the stack.
    let deep = format!(
        r#"{{"jsonrpc":"2.0","method":"a","params":{}{}}}"#,
        "[".repeat(100_000),
        "]".repeat(100_000)
    );
    assert!(matches!(
        message::parse(&Bytes::from(deep), 1),
        Ok(Message::Single(Ok(_)))
    ));
}

#[test]
fn server_messages() {
    let parse_server =
        |text: &'static str| message::parse_server_message(&Bytes::from_static(text.as_bytes()));
    let parse_response = |text| match parse_server(text) {
        ServerMessage::Response(response) => response,
        other => panic!("expected a response, got {other:?}"),
    };
    let response = parse_response(r#"{"jsonrpc":"2.0","result":{"b":1.10,"a":2},"id":12}"#);
    assert_eq!(
        (&response.id[..], &response.member[..]),
        (&b"12"[..], &br#""result":{"b":1.10,"a":2}"#[..])
    );
    assert_eq!((response.error_code, response.is_error), (None, false));
    let response =
        parse_response(r#"{"id":12,"error":{"code":-32603,"message":"no"},"jsonrpc":"2.0"}"#);
    assert_eq!(
        (response.error_code, response.is_error),
        (Some(-32603), true)
    );
    assert!(
        parse_response(r#"{"result":null,"id":1}"#)
            .error_code
            .is_none(),
        "servers of older versions omit `jsonrpc`"
    );
    assert!(matches!(
        parse_server(r#"{"jsonrpc":"2.0","method":"ping","id":9}"#),
        ServerMessage::Call(Some(_))
    ));
    assert!(matches!(
        parse_server(r#"{"jsonrpc":"2.0","method":"log"}"#),
        ServerMessage::Call(None)
    ));
    for text in [
        r#"{"result":1,"error":{},"id":1}"#,
        r#"{"id":1}"#,
        r#"{"result":1}"#,
        r#"{"result":1,"id":1,"id":2}"#,
        "[1]",
        "noise",
    ] {
        assert!(
            matches!(parse_server(text), ServerMessage::Invalid(_)),
            "{text}"
        );
    }
}

#[test]
fn pointers() {
    let find = |pointer: &str, text: &str| {
        Pointer::parse(pointer)
            .expect("a valid pointer")
            .find(text)
            .map(|value| value.get().to_string())
    };
    // RFC 6901, section 5.
    let text = r#"{"foo":["bar","baz"],"":0,"a/b":1,"c%d":2,"m~n":8," ":7,"k\"l":6}"#;
    for (pointer, expected) in [
        ("/foo", r#"["bar","baz"]"#),
        ("/foo/0", "\"bar\""),
        ("/", "0"),
        ("/a~1b", "1"),
        ("/c%d", "2"),
        ("/m~0n", "8"),
        ("/ ", "7"),
        ("/k\"l", "6"),
    ] {
        assert_eq!(find(pointer, text).as_deref(), Ok(expected), "{pointer}");
    }
    use pointer::FindError::{DuplicateName, NotFound};
    for pointer in [
        "/bar", "/foo/2", "/foo/00", "/foo/01", "/foo/-", "/foo/0/x", "/foo/1e0", "/foo/+1",
    ] {
        assert_eq!(find(pointer, text), Err(NotFound), "{pointer}");
    }
    assert_eq!(find("/a/b", r#"{"a":{"b":1,"b":2}}"#), Err(DuplicateName));
    assert_eq!(
        find("/a/b", r#"{"a":{"b":1.10},"x":{"b":2}}"#).as_deref(),
        Ok("1.10")
    );
    for invalid in ["", "a", "a/b", "/~", "/~2"] {
        assert!(Pointer::parse(invalid).is_err(), "{invalid:?}");
    }
    let deep = "[".repeat(100_000) + &"]".repeat(100_000);
    assert_eq!(find("/0/0/0/1", &deep), Err(NotFound));
}

#[test]
fn error_member_contains_code_message_and_retry_delay() {
    let error = write::error_member(-32001, "refused: \"later\"", Some(250));
    let error: serde_json::Value =
        serde_json::from_str(&format!("{{{}}}", String::from_utf8_lossy(&error))).expect("JSON");
    assert_eq!(
        error,
        serde_json::json!({"error": {"code": -32001, "message": "refused: \"later\"", "data": {"retry_after_ms": 250}}})
    );
}
