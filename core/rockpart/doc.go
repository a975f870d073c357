// Package rockpart finds parts of prompts that crash each backend server that
// begins to write an answer on them, and refuses requests with such a part.
// No two of these requests need be alike otherwise. The whole content of a
// request on engines that run a full path, or of a call, counts as the part
// that stands furthest back.
//
// A request whose attempt ended with a backend server, before its first token,
// is a sign against each part of its prompt but the last. The backend server is
// asked whether it has crashed: a connection can also be lost. Crashes have the
// same id at all hosts, and hosts tell each other the crashes of each part.
//
// A part with which any request gets a token cannot be the cause: the crashes
// that it has then are excused. What remains is judged by number. The part with
// the most crashes is blamed from blameCrashes on; its crashes are explained by
// it and do not count for other parts. Among equals the one that stands further
// back in its prompt is blamed, because fewer sound requests share it.
package rockpart
