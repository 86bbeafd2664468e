//! The examples of the specification (section 7), and the hard cases of envelopes.

use bytes::{Bytes, BytesMut};
use heathroad_jsonrpc::message::{self, Message, ServerMessage};
use heathroad_jsonrpc::{Call, Pointer, RequestError, pointer, write};

fn read(text: &'static str) -> Result<Message, RequestError> {
    message::parse(&Bytes::from_static(text.as_bytes()), 10)
}

fn one(text: &'static str) -> Result<Call, RequestError> {
    match read(text)? {
        Message::Single(call) => call,
        Message::Batch(members) => panic!("a batch of {}", members.len()),
    }
}

fn members(text: &'static str) -> Vec<Result<Call, RequestError>> {
    match read(text) {
        Ok(Message::Batch(members)) => members.iter().map(message::parse_call).collect(),
        other => panic!("{other:?}"),
    }
}

fn code<T>(done: Result<T, RequestError>) -> (i64, Bytes) {
    let wrong = done.err().expect("it is wrong");
    (wrong.code, wrong.id)
}

#[track_caller]
fn is_call(text: &'static str, id: Option<&str>, method: &str, params: Option<&str>) {
    let call = one(text).expect("sound");
    assert_eq!(call.id.as_deref(), id.map(str::as_bytes));
    assert_eq!(
        (call.method.as_str(), call.params.as_deref()),
        (method, params.map(str::as_bytes))
    );
}

#[test]
fn calls_and_notifications() {
    let text = r#"{"jsonrpc": "2.0", "method": "subtract", "params": [42, 23], "id": 1}"#;
    is_call(text, Some("1"), "subtract", Some("[42, 23]"));
    let text = r#"{"jsonrpc": "2.0", "method": "subtract", "params": {"subtrahend": 23, "minuend": 42}, "id": 3}"#;
    is_call(
        text,
        Some("3"),
        "subtract",
        Some(r#"{"subtrahend": 23, "minuend": 42}"#),
    );
    is_call(
        r#"{"jsonrpc": "2.0", "method": "update", "params": [1,2,3,4,5]}"#,
        None,
        "update",
        Some("[1,2,3,4,5]"),
    );
    is_call(
        r#"{"jsonrpc": "2.0", "method": "foobar"}"#,
        None,
        "foobar",
        None,
    );
    is_call(
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
        code(one(
            r#"{"jsonrpc": "2.0", "method": "foobar, "params": "bar", "baz]"#
        )),
        (-32700, null.clone())
    );
    assert_eq!(
        code(one(r#"{"jsonrpc": "2.0", "method": 1, "params": "bar"}"#)),
        (-32600, null.clone())
    );
    let cut = r#"[{"jsonrpc": "2.0", "method": "sum", "params": [1,2,4], "id": "1"}, {"jsonrpc": "2.0", "method"]"#;
    assert_eq!(code(read(cut)), (-32700, null.clone()));
    assert_eq!(code(read("[]")), (-32600, null.clone()));
    assert_eq!(
        members("[1]").into_iter().map(code).collect::<Vec<_>>(),
        [(-32600, null.clone())]
    );
    assert_eq!(
        members("[1,2,3]").into_iter().map(code).collect::<Vec<_>>(),
        vec![(-32600, null); 3]
    );
}

#[test]
fn a_batch_of_all_kinds() {
    let list = members(
        r#"[
        {"jsonrpc": "2.0", "method": "sum", "params": [1,2,4], "id": "1"},
        {"jsonrpc": "2.0", "method": "notify_hello", "params": [7]},
        {"jsonrpc": "2.0", "method": "subtract", "params": [42,23], "id": "2"},
        {"foo": "boo"},
        {"jsonrpc": "2.0", "method": "foo.get", "params": {"name": "myself"}, "id": "5"},
        {"jsonrpc": "2.0", "method": "get_data", "id": "9"}
    ]"#,
    );
    let ids: Vec<Option<Bytes>> = list
        .iter()
        .map(|c| c.as_ref().ok().and_then(|c| c.id.clone()))
        .collect();
    let text = |t: &'static str| Some(Bytes::from_static(t.as_bytes()));
    assert_eq!(
        ids,
        [
            text("\"1\""),
            None,
            text("\"2\""),
            None,
            text("\"5\""),
            text("\"9\"")
        ]
    );
    assert_eq!(list[3].clone().err().map(|w| w.code), Some(-32600));
    assert!(list[1].is_ok(), "a notification");
    assert_eq!(
        code(read("[1,2,3,4,5,6,7,8,9,10,11]")).0,
        -32600,
        "more than is taken"
    );
}

/// Ids, amounts and the order of names pass as they stand.
#[test]
fn values_pass_byte_for_byte() {
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
    let call = message::parse_call(&text).expect("sound");
    let mut out = BytesMut::new();
    write::call(Some(7), &call.raw_method, call.params.as_deref(), &mut out);
    assert_eq!(
        out,
        format!(r#"{{"jsonrpc":"2.0","method":"m","params":{params},"id":7}}"#)
    );
}

#[test]
fn envelopes_that_no_two_readers_read_alike() {
    for (text, want, id) in [
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
            code(one(text)),
            (want, Bytes::from_static(id.as_bytes())),
            "{text}"
        );
    }
    let invalid = Bytes::from_static(b"{\"jsonrpc\":\"2.0\",\"method\":\"\xff\",\"id\":5}");
    assert_eq!(code(message::parse(&invalid, 1)).0, -32700, "no UTF-8");
    // A mark at the begin is no part of the text; a name that nobody knows is passed over, whatever
    // it is.
    let marked =
        Bytes::from("\u{feff}{\"jsonrpc\":\"2.0\",\"method\":\"a\",\"\\ud800\":1}".to_string());
    assert!(matches!(
        message::parse(&marked, 1),
        Ok(Message::Single(Ok(_)))
    ));
    // Nobody's stack grows with brackets.
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
fn servers_texts() {
    let reply =
        |text: &'static str| message::parse_server_message(&Bytes::from_static(text.as_bytes()));
    let answer = |text| match reply(text) {
        ServerMessage::Response(a) => a,
        other => panic!("{other:?}"),
    };
    let a = answer(r#"{"jsonrpc":"2.0","result":{"b":1.10,"a":2},"id":12}"#);
    assert_eq!(
        (&a.id[..], &a.member[..]),
        (&b"12"[..], &br#""result":{"b":1.10,"a":2}"#[..])
    );
    assert_eq!((a.error_code, a.is_error), (None, false));
    let a = answer(r#"{"id":12,"error":{"code":-32603,"message":"no"},"jsonrpc":"2.0"}"#);
    assert_eq!((a.error_code, a.is_error), (Some(-32603), true));
    assert!(
        answer(r#"{"result":null,"id":1}"#).error_code.is_none(),
        "older servers leave the version out"
    );
    assert!(matches!(
        reply(r#"{"jsonrpc":"2.0","method":"ping","id":9}"#),
        ServerMessage::Call(Some(_))
    ));
    assert!(matches!(
        reply(r#"{"jsonrpc":"2.0","method":"log"}"#),
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
        assert!(matches!(reply(text), ServerMessage::Invalid(_)), "{text}");
    }
}

#[test]
fn pointers() {
    let find = |p: &str, text: &str| {
        Pointer::parse(p)
            .expect("a pointer")
            .find(text)
            .map(|v| v.get().to_string())
    };
    // RFC 6901, section 5.
    let text = r#"{"foo":["bar","baz"],"":0,"a/b":1,"c%d":2,"m~n":8," ":7,"k\"l":6}"#;
    for (p, want) in [
        ("/foo", r#"["bar","baz"]"#),
        ("/foo/0", "\"bar\""),
        ("/", "0"),
        ("/a~1b", "1"),
        ("/c%d", "2"),
        ("/m~0n", "8"),
        ("/ ", "7"),
        ("/k\"l", "6"),
    ] {
        assert_eq!(find(p, text).as_deref(), Ok(want), "{p}");
    }
    use pointer::FindError::{DuplicateName, NotFound};
    for p in [
        "/bar", "/foo/2", "/foo/00", "/foo/01", "/foo/-", "/foo/0/x", "/foo/1e0", "/foo/+1",
    ] {
        assert_eq!(find(p, text), Err(NotFound), "{p}");
    }
    assert_eq!(find("/a/b", r#"{"a":{"b":1,"b":2}}"#), Err(DuplicateName));
    assert_eq!(
        find("/a/b", r#"{"a":{"b":1.10},"x":{"b":2}}"#).as_deref(),
        Ok("1.10")
    );
    for wrong in ["", "a", "a/b", "/~", "/~2"] {
        assert!(Pointer::parse(wrong).is_err(), "{wrong:?}");
    }
    let deep = "[".repeat(100_000) + &"]".repeat(100_000);
    assert_eq!(find("/0/0/0/1", &deep), Err(NotFound));
}

#[test]
fn errors_are_written_whole() {
    let error = write::error_member(-32001, "refused: \"later\"", Some(250));
    let error: serde_json::Value =
        serde_json::from_str(&format!("{{{}}}", String::from_utf8_lossy(&error))).expect("JSON");
    assert_eq!(
        error,
        serde_json::json!({"error": {"code": -32001, "message": "refused: \"later\"", "data": {"retry_after_ms": 250}}})
    );
}
