//! The keys of `[duties]` and `[[duty]]` in the fleet's file: all are read, an unknown one is
//! rejected with the list of them, and what is wrong with a value is said.

use super::*;

/// The errors for unknown keys and values, which name all known ones.
const GOLDEN: &str = include_str!("../golden/lease_configuration.txt");

#[derive(Deserialize)]
struct File {
    duties: Option<LeasesSection>,
    #[serde(default)]
    duty: Vec<LeaseEntry>,
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

fn parse(text: &str, member_count: u16) -> Result<Option<Settings>, String> {
    let File { duties, duty } = toml::from_str(text).map_err(|e| e.to_string())?;
    check(duties, duty, member_count).map_err(|e| e.to_string())
}

#[test]
fn all_keys_are_read() {
    let settings = parse(ALL_KEYS, 6)
        .expect("it is good")
        .expect("there are leases");
    let voters = VoterSet::new(2, vec![3, 4, 5], vec![0, 1, 2], 6).expect("good voters");
    let timing = LeaseTiming {
        lease_duration: 2500,
    };
    assert_eq!((settings.voters, settings.timing), (voters, timing));
    let describe = |LeaseSettings { name, work }: &LeaseSettings| match work {
        WorkSettings::HttpCall(HttpCallSettings {
            address,
            path,
            interval,
        }) => format!("{name} call {address}{path} {interval:?}"),
        WorkSettings::CollectAudit { round_duration } => {
            format!("{name} collect {round_duration:?}")
        }
    };
    assert_eq!(
        settings.leases.iter().map(describe).collect::<Vec<_>>(),
        [
            "settle call 10.1.0.40:9400/settle 750ms",
            "collector collect 20s",
            "usual call 10.1.0.41:9400/ 1s",
            "usual-collector collect 30s",
        ]
    );
}

#[test]
fn unknown_keys_and_missing_values_are_rejected() {
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
        let error = toml::from_str::<File>(&text).err().expect("it is rejected");
        actual += &format!("{}\n", error.message());
    }
    assert!(
        GOLDEN == actual,
        "differs from the golden file; the actual text is:\n{actual}"
    );
}

#[test]
fn a_good_file_is_accepted() {
    let voters = "[duties]\nvoters = [0, 1, 2]\n";
    let call = "[[duty]]\nname = \"tick\"\nwork = \"call\"\naddress = \"127.0.0.1:9\"\n";
    let settings = parse(&format!("{voters}{call}path = \"/tick\""), 5);
    let settings = settings.expect("it is good").expect("there are leases");
    assert_eq!(
        (settings.leases.len(), settings.timing.lease_duration),
        (1, 5000)
    );
    assert!(parse("", 5).expect("it is good").is_none());
}

#[test]
fn what_is_wrong_is_said() {
    let voters = "[duties]\nvoters = [0, 1, 2]\n";
    let call = "[[duty]]\nname = \"tick\"\nwork = \"call\"\naddress = \"127.0.0.1:9\"\n";
    for (text, expected) in [
        (call.to_string(), "needs `[duties]`"),
        ("[duties]\nvoters = [0, 1]".into(), "2 voters"),
        ("[duties]\nvoters = [0, 1, 5]".into(), "5 is not among"),
        (
            "[duties]\nvoters = [0, 1, 2]\nprevious = [0, 1, 3]".into(),
            "generation 0",
        ),
        (format!("{voters}lease_ms = 50"), "expected 200 to 60000"),
        (format!("{voters}{call}{call}"), "taken by another"),
        (
            format!("{voters}{call}every_ms = 1"),
            "expected 10 to 3600000",
        ),
        (format!("{voters}{call}path = \"tick\""), "begins with `/`"),
        (
            format!("{voters}{}", call.replace("tick", "a b")),
            "expected 1 to 32 letters",
        ),
        (
            format!("{voters}{}", call.replace("address", "# ")),
            "address: is missing",
        ),
        (
            format!("{voters}{}", call.replace("call", "collect")),
            "where its work is to call",
        ),
        (format!("{voters}other = 1"), "unknown field"),
    ] {
        let error = parse(&text, 5).expect_err(&text);
        assert!(error.contains(expected), "{text}: {error}");
    }
}
