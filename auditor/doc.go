// Package auditor checks the operator's configuration of the pools before it is put in force, and
// describes what a new version changes and what that does to jobs that are accepted already.
package auditor
