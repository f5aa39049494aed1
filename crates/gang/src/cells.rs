//! Accelerators of one worker as a bit mask, and best fit by aligned cell.

/// Set of accelerators of one worker; bit `i` is accelerator `i`.
pub type Mask = u64;

/// Most accelerators of one worker.
pub const MAX_ACCELS: u32 = 64;

/// Added to the class of a span that crosses the border of its aligned cell.
const MISALIGNED: u32 = 1 << 16;

/// The `count` accelerators from `first` on.
pub fn span(first: u32, count: u32) -> Mask {
    if count == 0 {
        return 0;
    }
    (u64::MAX >> (MAX_ACCELS - count.min(MAX_ACCELS))) << first
}

/// The best position for `count` adjacent accelerators among `free`, with its class: the size
/// of the largest free aligned cell that the span breaks. A smaller class is a better fit.
pub fn fit(free: Mask, total: u32, count: u32) -> Option<(u32, u32)> {
    starts(free, total, count)
        .map(|first| (first, class(free, total, first, count)))
        .min_by_key(|&(first, class)| (class, first))
}

/// All positions at which `count` adjacent accelerators are free.
pub fn starts(free: Mask, total: u32, count: u32) -> impl Iterator<Item = u32> {
    let end = (total + 1).saturating_sub(count);
    (0..end).filter(move |&first| {
        let want = span(first, count);
        free & want == want
    })
}

/// Size of the largest free aligned cell around a span.
pub fn class(free: Mask, total: u32, first: u32, count: u32) -> u32 {
    let mut size = count.max(1).next_power_of_two();
    if first / size != (first + count - 1) / size {
        return MISALIGNED + count;
    }
    let mut class = count;
    while size <= total {
        let start = first / size * size;
        let cell = span(start, size);
        if start + size > total || free & cell != cell {
            break;
        }
        class = size;
        size *= 2;
    }
    class
}

/// Size of the largest free aligned cell, zero when nothing is free.
pub fn largest(free: Mask, total: u32) -> u32 {
    let mut size = total.next_power_of_two();
    while size > 0 {
        let mut first = 0;
        while first + size <= total {
            let cell = span(first, size);
            if free & cell == cell {
                return size;
            }
            first += size;
        }
        size /= 2;
    }
    0
}
