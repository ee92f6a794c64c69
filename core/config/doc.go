// Package config folds the configuration stream of the log into a state.
//
// The fold is deterministic: every node that folds the same records holds the
// same state and accepts or rejects the same changes. A change names the
// revision of the object that it was based on, so that of two racing changes
// one is rejected.
package config
