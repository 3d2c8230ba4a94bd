// Package mangoshare decides in which order the demands of several workspaces and ranks
// are granted.
//
// The loads it answers are a workspace that sends several times its usual demand beside
// others that do not, and more urgent work than all servers of a service can take. Within
// a rank, workspaces share a service by start-time fair queueing over the costs of their
// demands (package mangofair), so that a burst of one workspace queues behind the usual
// demand of the others. While urgent demands leave no room, one in some grants goes to
// less urgent ones, as long as these are not served more often than the urgent ones.
//
// The whole order is: demands with a computed KV cache; those that can still meet their
// target; rank; the workspace's start tag; clients that return as they were told; cost;
// age. Demands that are not shared keep the order of package mangoqueue among each other.
//
// # Usage
//
//	shares := mangoshare.New(mangoshare.DefaultBasicShare)
//	shares.Arrived(&demand, now)
//	mangoshare.Sort(shares, queue, now)
//	shares.Granted(pending, now) // for each demand of the queue that was granted
package mangoshare
