//! Golden copy of the commands, arguments and options. Help texts may change.

#[path = "../../heathroad/tests/rig/help_forms.rs"]
mod help_forms;

const GOLDEN: &str = include_str!("golden/command_line.txt");

#[test]
fn commands_arguments_and_options_match_the_golden_copy() {
    let actual = help_forms::collect(env!("CARGO_BIN_EXE_heathroad-harness"), "heathroad-harness");
    assert_eq!(actual, GOLDEN, "actual:\n{actual}");
}
