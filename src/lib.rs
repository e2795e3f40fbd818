/*!
A router for backend servers that each own keys exclusively.

Every request reaches the sole owner of its key, and fixed capacity is shared
fairly. Callers get correct, complete responses even while servers start, stop
or freeze. This crate re-exports the parts and holds the two thin
programs `goldcrestrampd` (the daemon on an entry VM) and `goldcrestramp`
(the command of operators).

# The parts

* [`types`]: names, slices, times, tokens and outcomes.
* [`ownership`]: ownership of slices and their moves; pure state machines.
* [`decisions`]: admission, fairness, retries and placement; pure.
* [`config`]: settings and change tickets.
* [`platform`]: clients of the key-value service and the VM list.
* [`wire`]: the protocols.
* [`node`]: a running daemon.

# Example

A key is hashed to a slice, and a slice has one owner:

```
use goldcrestramp::types::{SliceCount, slice_of};

let slice = slice_of(b"shop-17/rice", SliceCount::DEFAULT);
assert_eq!(slice, slice_of(b"shop-17/rice", SliceCount::DEFAULT));
```
*/

pub mod commands;
pub mod daemon;

pub use goldcrestramp_config as config;
pub use goldcrestramp_decisions as decisions;
pub use goldcrestramp_node as node;
pub use goldcrestramp_ownership as ownership;
pub use goldcrestramp_platform as platform;
pub use goldcrestramp_types as types;
pub use goldcrestramp_wire as wire;
