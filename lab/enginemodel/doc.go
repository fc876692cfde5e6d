// Package enginemodel is a model of one language-model engine: continuous
// batching, a prefix cache of limited blocks, priorities, numbered cache
// events, lagging load reports and fenced orders. It has no I/O, goroutine or
// clock. The HTTP stand-in runs it in real time, the emulator and the
// simulation run it on a virtual clock.
//
// # Cost model
//
// The engine works in steps (iteration-level scheduling: Yu et al., "Orca",
// OSDI 2022). A step has a budget of Costs.StepTokens tokens. Each running
// stream past its prompt takes one token for its next output token. What is
// left goes to prompts in chunks (Agrawal et al., "Sarathi-Serve", OSDI 2024):
// first to running streams in the order of their admission, then to waiting
// streams by priority and arrival, as long as a batch slot and memory are
// free. A step takes
//
//	StepBase + decoded tokens × DecodePerToken + prompt tokens × PrefillPerToken
//
// and its output tokens come into being at its end. The step that computes the
// last token of a prompt yields the first output token.
//
// The cache holds blocks of BlockTokens prompt tokens (Kwon et al.,
// "PagedAttention", SOSP 2023). A stream takes the longest cached prefix when
// it is admitted and computes the rest, at least one token; a prefix that
// another stream is still computing is not shared before it is stored. Blocks
// in use are pinned. The others are evicted least recently used first, the end
// of a prefix before its beginning, when room is needed or when they have been
// idle for BlockIdleTTL. Memory for the prompt and the whole output is reserved
// at admission; a stream that doesn't fit waits, unless it is alone: then the
// blocks that don't fit are computed and not kept.
//
// Importing n blocks takes n × ImportPerBlock, beside the steps. Loading
// weights takes LoadTime, beside the steps too.
//
// # Truth
//
// Identifiers of ended and cancelled streams are kept for the whole
// incarnation, so that no late dispatch of them can run. Token texts are
// chained by hashes; see VerifyOutput.
package enginemodel
