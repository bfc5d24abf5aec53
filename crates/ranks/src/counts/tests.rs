//! Tests of the sums of counts and of their form on the wire.

use sardinepin_protocol::{decode, encode};

use super::{CountIncrements, sum_counts};

fn counts(epoch: u64, increments: &[u32]) -> CountIncrements {
    CountIncrements {
        epoch,
        increments: increments.to_vec(),
    }
}

#[test]
fn counts_of_another_epoch_are_left_out_of_a_sum() {
    let sum = sum_counts([counts(2, &[1, 2]), counts(1, &[9, 9]), counts(2, &[3, 4])]);
    assert_eq!(sum, Some(counts(2, &[4, 6])));
    assert_eq!(sum_counts([]), None);
}

#[test]
fn a_count_takes_one_byte_and_loses_little_against_the_highest() {
    let sent: Vec<u32> = (0..3_072).map(|expert| expert * 977 % 50_000).collect();
    let highest = sent.iter().copied().max().unwrap();
    let bytes = encode(&counts(1, &sent)).unwrap();
    assert!(bytes.len() < sent.len() + 16, "{}", bytes.len());
    let received: CountIncrements = decode(&bytes).unwrap();
    let differs = |(sent, received): (&u32, &u32)| sent.abs_diff(*received) > highest / 255;
    assert!(!sent.iter().zip(&received.increments).any(differs));
}

#[test]
fn small_and_extreme_counts_are_kept() {
    for increments in [vec![0, 0, 0], vec![255, 1, 0], vec![u32::MAX, 0, 7], vec![]] {
        let bytes = encode(&counts(3, &increments)).unwrap();
        let received: CountIncrements = decode(&bytes).unwrap();
        assert_eq!(received.epoch, 3);
        assert_eq!(received.increments.len(), increments.len());
        if increments.iter().all(|count| *count <= 255) {
            assert_eq!(received.increments, increments);
        }
    }
}
