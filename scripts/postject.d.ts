declare module 'postject' {
	export function inject(
		file: string,
		resourceName: string,
		resource: Uint8Array,
		options: Readonly<{sentinelFuse: string}>,
	): Promise<void>;
}
