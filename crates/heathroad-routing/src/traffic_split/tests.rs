use super::*;

fn names() -> Vec<String> {
    ["a", "b", "c"].map(String::from).to_vec()
}

fn destinations(weights: &[f64]) -> Vec<WeightedPool> {
    let weights = weights.iter().enumerate();
    weights
        .map(|(pool, weight)| WeightedPool {
            pool,
            weight: *weight,
        })
        .collect()
}

fn pool(weights: &[f64], key: u64) -> usize {
    select_pool(&destinations(weights), &names(), mix(key))
        .expect("a weight above 0")
        .pool
}

#[test]
fn shares_are_proportional_to_weights() {
    let keys = 20_000;
    let share_of = |p| {
        let selected = (0..keys).filter(|key| pool(&[1.0, 3.0, 0.0], *key) == p);
        selected.count() as f64 / keys as f64
    };
    assert!((share_of(0) - 0.25).abs() < 0.02 && (share_of(1) - 0.75).abs() < 0.02);
    assert_eq!(share_of(2), 0.0);
}

#[test]
fn a_weight_change_moves_keys_only_to_the_pool_that_grew() {
    for key in 0..5_000 {
        let (before, after) = (pool(&[90.0, 10.0], key), pool(&[80.0, 20.0], key));
        assert!(
            before == after || (before, after) == (0, 1),
            "key {key} moved from {before} to {after}"
        );
        // The result depends neither on the scale of the weights nor on pools of weight 0.
        assert_eq!(before, pool(&[9.0, 1.0, 0.0], key));
    }
}

#[test]
fn no_pool_is_selected_if_all_weights_are_0() {
    assert_eq!(select_pool(&destinations(&[0.0, 0.0]), &names(), 1), None);
    assert_eq!(select_pool(&destinations(&[0.0]), &names(), 1), None);
    assert_eq!(select_pool(&[], &names(), 1), None);
}
