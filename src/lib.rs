/*!
A router for backend servers that each own keys exclusively.
*/

pub use goldcrestramp_types as types;
