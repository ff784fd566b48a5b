//! Cost of a limit per upstream request: whether it may be sent, that it was sent, and how it ended.

#![allow(missing_docs)]

use criterion::{criterion_group, criterion_main, Criterion};
use limits::*;
use std::hint::black_box;

/// Clock step between two calls, in us.
const STEP: Micros = 1_000;

fn bench_limit(c: &mut Criterion, name: &str, mut limit: impl Limit) {
    let (mut now, mut i) = (0, 0u64);
    c.bench_function(name, |b| {
        b.iter(|| {
            (now, i) = (now + STEP, i.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1));
            let takes = limit.allows(now, 3);
            limit.sent(now, 4);
            // A few in a hundred are abandoned, so that the result includes the cost of that.
            let ending = if i >> 58 < 2 { Ending::Abandoned } else { Ending::InTime };
            let time = 80_000 + (i >> 48) as Micros;
            limit.ended(black_box(&Sample {
                now,
                sent: now - time,
                ending,
                out_at_send: 4,
                kept_waiting: false,
            }));
            black_box((takes, limit.limit(now)))
        })
    });
}

fn other_types(c: &mut Criterion) {
    let mut now = 0;
    let mut bucket = Bucket::default();
    c.bench_function("bucket", |b| {
        b.iter(|| {
            now += STEP;
            black_box(bucket.take(now, 500.0, 5.0))
        })
    });
    let mut budget = Budget::new(0.2, 10.0);
    c.bench_function("budget", |b| {
        b.iter(|| {
            now += STEP;
            budget.request(now);
            let sample =
                Sample { now, sent: now - 1, ending: Ending::InTime, out_at_send: 1, kept_waiting: false };
            budget.ended(black_box(&sample));
            black_box(budget.take(Extra::Retry))
        })
    });
    let mut queue = Queue::new(256, CoDel::new(100_000, 500_000));
    c.bench_function("codel", |b| {
        b.iter(|| {
            now += STEP;
            queue.push(now, now);
            black_box((queue.shed(now), queue.pop()))
        })
    });
}

fn all(c: &mut Criterion) {
    let range = Range::from(4.0);
    bench_limit(c, "aimd", Aimd::default());
    bench_limit(c, "ledger", OriginLimit::default());
    bench_limit(c, "node", NodeLimit::default());
    bench_limit(c, "gradient", Gradient::new(range));
    bench_limit(c, "vegas", Vegas::new(range));
    bench_limit(c, "throughput", Throughput::new(range));
    let warm_up =
        WarmUp { started: 0, initial_share: 0.15, duration: 23_000_000, multiple: 3.0, window: 1_000_000 };
    bench_limit(c, "cold", ColdBudget::new(0, warm_up, 5_000.0, 0.5));
    other_types(c);
}

criterion_group!(benches, all);
criterion_main!(benches);
