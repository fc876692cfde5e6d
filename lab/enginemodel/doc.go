// Package enginemodel models one language-model engine: continuous batching, a prefix cache of
// bounded size, priorities, numbered cache events, delayed load reports and fenced orders. It has
// no I/O, goroutines or clock, and runs in real time (HTTP stand-in) or on a virtual clock
// (emulator, simulation).
//
// # Cost model
//
// The engine works in steps (iteration-level scheduling: Yu et al., "Orca", OSDI 2022). A step has
// a budget of Costs.StepTokens tokens. Each running stream past its prompt takes one token of the
// budget for its next output token. The rest goes to prompts in chunks (Agrawal et al.,
// "Sarathi-Serve", OSDI 2024): first to running streams in order of admission, then to waiting
// streams by priority and arrival while a batch slot and memory are free. The duration of a step is
//
//	StepBase + decoded tokens × DecodePerToken + prompt tokens × PrefillPerToken
//
// and its output tokens are available at its end. The step that computes the last token of a prompt
// yields the first output token.
//
// The cache holds blocks of BlockTokens prompt tokens (Kwon et al., "PagedAttention", SOSP 2023).
// At admission a stream takes the longest cached prefix and computes the rest, at least one token.
// A prefix that another stream is computing is shared only once it is stored. Blocks in use are
// pinned. Unpinned blocks are evicted in least recently used order, the end of a prefix before its
// beginning, when memory is needed or after BlockIdleTTL. Memory for the prompt and the whole
// output is reserved at admission. A stream that does not fit waits, unless no other stream runs:
// then the blocks that do not fit are computed but not cached.
//
// Importing n blocks takes n × ImportPerBlock and loading weights takes LoadTime; both run beside
// the steps.
//
// # Stream identity
//
// Identifiers of ended and cancelled streams are kept for the whole incarnation, so a late dispatch
// cannot run one of them again. The output tokens of a stream are chained by hashes; VerifyOutput
// checks the chain.
package enginemodel
