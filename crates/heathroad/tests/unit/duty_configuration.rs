//! The keys of `[duties]` and `[[duty]]` in the fleet's file: all are read, and an unknown one is
//! refused with the list of them.

use super::*;

/// The refusals of unknown keys and values, which name all known ones.
const GOLDEN: &str = include_str!("../golden/lease_configuration.txt");

#[derive(Deserialize)]
struct File {
    duties: Duties,
    #[serde(default)]
    duty: Vec<Named>,
}

const ALL_KEYS: &str = r#"
[duties]
voters = [3, 4, 5]
generation = 2
previous = [0, 1, 2]
lease_ms = 2500

[[duty]]
name = "settle"
work = "call"
address = "10.1.0.40:9400"
path = "/settle"
every_ms = 750

[[duty]]
name = "collector"
work = "collect"
every_ms = 20_000

[[duty]]
name = "usual"
work = "call"
address = "10.1.0.41:9400"

[[duty]]
name = "usual-collector"
work = "collect"
"#;

#[test]
fn all_keys_are_read() {
    let File { duties, duty } = toml::from_str(ALL_KEYS).expect("it is understood");
    let settings = check(Some(duties), duty, 6)
        .expect("it is good")
        .expect("there are duties");
    let electorate = Electorate::new(2, vec![3, 4, 5], vec![0, 1, 2], 6).expect("good voters");
    assert_eq!(
        (settings.electorate, settings.terms),
        (electorate, Terms { lease: 2500 })
    );
    let work = |duty: &Duty| match &duty.kind {
        Kind::Call(Call {
            address,
            path,
            every,
        }) => format!("{} call {address}{path} {every:?}", duty.name),
        Kind::Collect { every } => format!("{} collect {every:?}", duty.name),
    };
    assert_eq!(
        settings.duties.iter().map(work).collect::<Vec<_>>(),
        [
            "settle call 10.1.0.40:9400/settle 750ms",
            "collector collect 20s",
            "usual call 10.1.0.41:9400/ 1s",
            "usual-collector collect 30s",
        ]
    );
}

#[test]
fn unknown_keys_are_refused() {
    let duties = "[duties]\nvoters = [0, 1, 2]\n";
    let mut actual = String::new();
    for text in [
        format!("{duties}other = 1\n"),
        format!("{duties}[[duty]]\nname = \"a\"\nother = 1\n"),
        format!("{duties}[[duty]]\nname = \"a\"\nwork = \"other\"\n"),
        "[duties]\n".to_string(),
        format!("{duties}[[duty]]\nwork = \"call\"\n"),
        format!("{duties}[[duty]]\nname = \"a\"\n"),
    ] {
        let refused = toml::from_str::<File>(&text).err().expect("it is refused");
        actual += &format!("{}\n", refused.message());
    }
    assert!(
        GOLDEN == actual,
        "differs from the golden file; the actual text is:\n{actual}"
    );
}
