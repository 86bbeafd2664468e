//! The command line stays as it is: its commands, arguments and options. The wording of the help is
//! free.

#[path = "../../heathroad/tests/rig/help_forms.rs"]
mod help_forms;

const GOLDEN: &str = include_str!("golden/command_line.txt");

#[test]
fn commands_arguments_and_options_stay_the_same() {
    let actual = help_forms::collect(env!("CARGO_BIN_EXE_heathroad-harness"), "heathroad-harness");
    assert_eq!(actual, GOLDEN, "actual:\n{actual}");
}
