//! Best-fit search for adjacent accelerators of one worker, kept as a bit mask. As in a buddy
//! allocator, an aligned block has a power of two as its size and starts at a multiple of it.

/// Set of accelerators of one worker; bit `i` is accelerator `i`.
pub type Mask = u64;

/// Most accelerators of one worker.
pub const MAX_ACCELS: u32 = 64;

/// Added to the score of a range that no aligned block of the next power of two contains.
const MISALIGNED_PENALTY: u32 = 1 << 16;

/// Mask of `count` accelerators from `first` on.
pub fn mask_of(first: u32, count: u32) -> Mask {
    if count == 0 {
        return 0;
    }
    (u64::MAX >> (MAX_ACCELS - count.min(MAX_ACCELS))) << first
}

/// Best position for `count` adjacent accelerators within `free`, with its [`fit_score`].
pub fn best_fit(free: Mask, total: u32, count: u32) -> Option<(u32, u32)> {
    free_positions(free, total, count)
        .map(|first| (first, fit_score(free, total, first, count)))
        .min_by_key(|&(first, score)| (score, first))
}

/// Positions at which `count` adjacent accelerators are free.
pub fn free_positions(free: Mask, total: u32, count: u32) -> impl Iterator<Item = u32> {
    let end = (total + 1).saturating_sub(count);
    (0..end).filter(move |&first| {
        let want = mask_of(first, count);
        free & want == want
    })
}

/// Fragmentation caused by taking a range: the size of the largest free aligned block that it
/// splits. Lower is better; `count` means that no larger block is split.
pub fn fit_score(free: Mask, total: u32, first: u32, count: u32) -> u32 {
    let mut size = count.max(1).next_power_of_two();
    if first / size != (first + count - 1) / size {
        return MISALIGNED_PENALTY + count;
    }
    let mut score = count;
    while size <= total {
        let start = first / size * size;
        let block = mask_of(start, size);
        if start + size > total || free & block != block {
            break;
        }
        score = size;
        size *= 2;
    }
    score
}

/// Size of the largest free aligned block, or 0 if nothing is free.
pub fn largest_free(free: Mask, total: u32) -> u32 {
    let mut size = total.next_power_of_two();
    while size > 0 {
        let mut first = 0;
        while first + size <= total {
            let block = mask_of(first, size);
            if free & block == block {
                return size;
            }
            first += size;
        }
        size /= 2;
    }
    0
}
