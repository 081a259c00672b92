/** State of one stream while it is served, over all of its runs. */
import type { UpstreamId } from '@hibiscusbank/core';
import type { AdmittedRequest } from './context.js';
import type { StreamProgress } from './relay-events.js';
import type { UpstreamVersion } from './rollouts/index.js';
import type { EngineSettings, KvHandle } from './types.js';

export interface StreamState {
  readonly admitted: AdmittedRequest;
  readonly engineSettings: EngineSettings;
  readonly progress: StreamProgress;
  readonly failedPrefill: Set<UpstreamId>;
  readonly failedDecode: Set<UpstreamId>;
  /** The handle of a prefilled KV cache that no engine has fetched. */
  unfetchedKv: { readonly handle: KvHandle; readonly until: number } | undefined;
  /**
   * Whether a prefill engine has prefilled the prompt; prefilling it again uses the retry budget.
   */
  wasPrefilled: boolean;
  /** Number of sends that an engine may have run. */
  runs: number;
  effect: 'not_run' | 'unknown';
  /** Version of the engine that began the stream, once it has begun. */
  version: UpstreamVersion | undefined;
}
