/*!
Names, slices, times, tokens and outcomes that all crates share.

A key is hashed to a [`SliceIndex`]. Each slice has one owning server, which
holds a grant with a [`FenceToken`]. Deadlines use two clocks, whose times are
never compared with each other: [`LocalTime`] is read by the process that
stores it, [`ServerTime`] by a backend server.

# Example

```
use goldcrestramp_types::{SliceCount, slice_of};

let count = SliceCount::new(4096).expect("a power of two");
let slice = slice_of(b"shop-17/rice", count);
assert!(u32::from(slice.get()) < count.get());
```
*/

mod collections;
mod names;
mod outcome;
mod request;
mod slice;
mod slice_set;
mod time;
mod token;

pub use crate::{
    collections::{FastMap, FastSet},
    names::{
        CallerName, DomainName, NameError, RegionName, RequestName,
        ServerName, ServiceName, VmName,
    },
    outcome::{NotRunReason, RetryReason, UnknownReason},
    request::{RequestClass, RequestEffect},
    slice::{SliceCount, SliceIndex, slice_of},
    slice_set::{SliceRange, SliceSet},
    time::{ClockSource, LocalTime, MonotonicClock, ServerTime, TimeSpan},
    token::{FenceToken, TableVersion, TermId},
};
