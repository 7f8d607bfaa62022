package yuccapaddle

import (
	"crypto/sha256"
	"encoding/hex"
)

// Origin is the queue through which a call came, as the rules had it, and the API key that
// the call carried.
type Origin struct {
	Authority string `json:"host,omitempty"`
	Prefix    string `json:"prefix,omitempty"`
	// Public means that the queue needed no key.
	Public bool `json:"public,omitempty"`
	// Key is the digest of the call's API key, empty without one that is known.
	Key string `json:"key,omitempty"`
	// Version is that of the rules.
	Version int64 `json:"version,omitempty"`
}

// Caller is who asks for a job, and the queue through which. The zero Caller stands for the
// hosts themselves, which may see every job. A host of an earlier version names only the
// queue.
type Caller struct {
	Queue     string `json:"queue"`
	Workspace string `json:"workspace,omitempty"`
	Origin
}

// keyDigestBytes is the length of the digest of an API key before it is encoded.
const keyDigestBytes = 16

// NewCaller returns the caller of a queue who carries an API key, by rules r. An unknown key
// counts as none.
func NewCaller(r *Rules, q *Queue, key string) Caller {
	c := Caller{Queue: q.Name, Origin: Origin{Authority: q.Authority, Prefix: q.Prefix, Public: q.Public, Version: r.Version}}
	if w := r.WorkspaceByKey(key); w != nil {
		digest := sha256.Sum256([]byte(key))
		c.Workspace, c.Key = w.Name, hex.EncodeToString(digest[:keyDigestBytes])
	}
	return c
}

// CallerOf returns the caller who handed a job in.
func CallerOf(j *Job) Caller {
	c := Caller{Queue: j.Queue, Workspace: j.Workspace}
	if j.Origin != nil {
		c.Origin = *j.Origin
	}
	return c
}

// MaySee reports whether the caller may query and cancel a job by rules r. The job's queue is
// the one that has the job's queue name or its authority and prefix. There the workspace of
// the job may see it, and everybody if the queue needs no key. If the rules have no such
// queue any more, the workspace may see the job through any queue.
func (c *Caller) MaySee(j *Job, r *Rules) bool {
	if *c == (Caller{}) {
		return true
	}
	if c.Prefix == "" {
		return c.Queue == j.Queue
	}
	owner := c.owns(j, r)
	if c.throughQueueOf(j) {
		return owner || j.open() || c.Public && c.Queue == j.Queue
	}
	return r.QueueOf(j) == nil && (owner || c.Public && j.open())
}

// MayRepeat reports whether a job that the caller hands in under the ID of j counts as j,
// handed in again. It does for the workspace of j through any queue, since IDs are not bound
// to queues.
func (c *Caller) MayRepeat(j *Job, r *Rules) bool {
	return c.owns(j, r) || c.MaySee(j, r)
}

// owns reports whether the job is of the caller's workspace. A workspace that the rules do
// not name any more may have been renamed: then the key counts with which the job was handed
// in.
func (c *Caller) owns(j *Job, r *Rules) bool {
	if c.Workspace == j.Workspace {
		return true
	}
	return r.Workspace(j.Workspace) == nil && j.Origin != nil && j.Origin.Key != "" && j.Origin.Key == c.Key
}

// throughQueueOf reports whether the call came through the job's queue, which may have been
// renamed or moved.
func (c *Caller) throughQueueOf(j *Job) bool {
	if c.Queue == j.Queue {
		return true
	}
	return j.Origin != nil && j.Origin.Authority == c.Authority && j.Origin.Prefix == c.Prefix
}

// open reports whether no key was needed to hand the job in.
func (j *Job) open() bool {
	return j.Workspace == "" || j.Origin != nil && j.Origin.Public
}
