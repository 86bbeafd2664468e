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
        .expect("some weight")
        .pool
}

#[test]
fn parts_follow_the_weights() {
    let n = 20_000;
    let part_of = |p| (0..n).filter(|k| pool(&[1.0, 3.0, 0.0], *k) == p).count() as f64 / n as f64;
    assert!((part_of(0) - 0.25).abs() < 0.02 && (part_of(1) - 0.75).abs() < 0.02);
    assert_eq!(part_of(2), 0.0);
}

#[test]
fn a_key_stays_in_its_pool_while_weights_change_but_for_the_part_that_moves() {
    for key in 0..5_000 {
        let (before, after) = (pool(&[90.0, 10.0], key), pool(&[80.0, 20.0], key));
        assert!(
            before == after || (before, after) == (0, 1),
            "only towards the pool that grew"
        );
        // Neither the scale of the weights nor a pool without weight decides.
        assert_eq!(before, pool(&[9.0, 1.0, 0.0], key));
    }
}

#[test]
fn no_pool_is_selected_where_all_weights_are_0() {
    assert_eq!(select_pool(&destinations(&[0.0, 0.0]), &names(), 1), None);
    assert_eq!(select_pool(&destinations(&[0.0]), &names(), 1), None);
    assert_eq!(select_pool(&[], &names(), 1), None);
}
